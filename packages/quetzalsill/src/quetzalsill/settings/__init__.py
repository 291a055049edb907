"""The settings of one process."""
