"""Tests of `quetzalsill_sidecar.placement`."""
