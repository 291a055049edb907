"""Tests of quetzalsill.net."""
