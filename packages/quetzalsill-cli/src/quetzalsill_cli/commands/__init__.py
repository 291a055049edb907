"""Built-in commands and command groups of `quetzalsill`."""
