"""Compares ways of deciding on the same days and seeds of the users' bench."""
