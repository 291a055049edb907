"""Gateways tell each other what they hold at engines."""
