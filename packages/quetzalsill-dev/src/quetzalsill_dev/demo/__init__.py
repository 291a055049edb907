"""Demonstration of the whole path in separate processes."""
