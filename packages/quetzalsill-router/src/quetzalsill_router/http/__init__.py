"""HTTP API for callers."""
