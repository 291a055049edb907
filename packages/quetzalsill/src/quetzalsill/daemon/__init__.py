"""The command line of `quetzalsilld`."""
