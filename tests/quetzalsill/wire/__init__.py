"""Tests of quetzalsill.wire."""
