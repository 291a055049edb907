"""Stand-ins, demo and benches for development; never in production."""
