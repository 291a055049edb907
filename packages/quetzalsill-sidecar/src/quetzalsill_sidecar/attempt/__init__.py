"""State of attempts, from the Dispatch to the acknowledged terminal."""
