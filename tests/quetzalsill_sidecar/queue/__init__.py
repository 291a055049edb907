"""Tests of queue order, admission and lengths."""
