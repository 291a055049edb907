"""Tests of the sidecar."""
