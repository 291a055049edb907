"""Bench of routing, admission and fairness on crowded engines."""
