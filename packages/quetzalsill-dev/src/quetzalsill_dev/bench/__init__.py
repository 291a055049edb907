"""Benchmarks of the whole request path and of the decisions."""
