"""Tests of queue order, admission and output lengths."""
