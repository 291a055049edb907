"""Tests of the package quetzalsill_gateway.http."""
