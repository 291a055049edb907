"""Typed keys of settings and configuration, and their checker."""
