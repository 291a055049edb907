"""Tests, in the layout of the packages."""
