"""Commands that bring the engine to its configured state."""
