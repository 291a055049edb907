"""Demo of the whole request path in separate processes."""
