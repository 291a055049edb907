"""Settings of a process."""
