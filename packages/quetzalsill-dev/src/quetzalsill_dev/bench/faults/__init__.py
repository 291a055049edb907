"""Benchmark of what callers observe during seeded fault injection."""
