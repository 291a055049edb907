"""Callers' API over HTTP."""
