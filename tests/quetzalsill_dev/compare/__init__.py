"""Tests of comparing ways."""
