"""Tests of quetzalsill.telemetry."""
