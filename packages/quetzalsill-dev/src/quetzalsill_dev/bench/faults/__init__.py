"""Bench of what callers see while parts fail on a seeded schedule."""
