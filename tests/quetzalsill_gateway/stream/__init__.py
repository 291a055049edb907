"""Tests of quetzalsill_gateway.stream."""
