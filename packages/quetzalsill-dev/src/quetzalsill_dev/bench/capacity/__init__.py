"""Measures the slopes behind docs/CAPACITY.md: `make bench-capacity`."""
