"""Tests of `quetzalsill_gateway.quarantine`."""
