"""Routing policies: the choice of an upstream for each attempt."""
