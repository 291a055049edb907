"""Processes beside clients that misbehave; run one module at a time."""
