"""Tests of the module of the same name."""
