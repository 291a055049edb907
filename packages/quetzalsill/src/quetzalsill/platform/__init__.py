"""Clients of the platform: table, object store and host list."""
