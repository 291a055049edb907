"""Tests of the calls of an upstream."""
