"""Framed messages between router and sidecar."""
