"""Lifecycle of one request, from acceptance to its terminal event."""
