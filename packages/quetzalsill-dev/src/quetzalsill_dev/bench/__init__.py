"""Benches of the whole path and of the decisions."""
