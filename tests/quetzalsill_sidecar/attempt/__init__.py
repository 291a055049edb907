"""Tests of the state of attempts."""
