"""The operators' command line, `quetzalsill`."""
