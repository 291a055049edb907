"""Tests of the development package."""
