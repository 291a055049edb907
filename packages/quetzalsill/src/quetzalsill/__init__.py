"""Kernel of quetzalsill: what every process of the system shares."""
