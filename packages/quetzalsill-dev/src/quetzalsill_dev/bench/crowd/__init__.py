"""Benchmark of routing, admission and fairness on overloaded engines."""
