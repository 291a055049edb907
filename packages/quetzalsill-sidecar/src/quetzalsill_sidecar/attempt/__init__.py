"""State of attempts, from Dispatch to acknowledged terminal."""
