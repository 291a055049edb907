"""Stand-ins, demo and benchmarks for development; not for production."""
