"""Typed failures."""
