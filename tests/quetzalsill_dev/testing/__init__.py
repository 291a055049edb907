"""Tests of the test runner."""
