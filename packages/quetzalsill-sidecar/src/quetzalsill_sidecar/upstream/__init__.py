"""Clients of the upstream: model engine or app server."""
