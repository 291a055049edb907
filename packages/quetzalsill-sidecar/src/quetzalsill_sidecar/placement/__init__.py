"""Orders that bring the engine to what the configuration wants."""
