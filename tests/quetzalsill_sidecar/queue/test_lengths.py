"""Estimates of output lengths."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill_sidecar.queue import lengths

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=30)
TOKENS = strategies.integers(1, 20_000)
# Accuracy of the histogram's two significant figures, plus rounding.
ACCURACY = 0.02


def observed(values: list[int], repeat: int = 1) -> lengths.Lengths:
    known = lengths.Lengths()
    for value in values * repeat:
        known.record('planner', 'patient', value, 0.0)
    return known


def remaining(known: lengths.Lengths, produced: int, quantile: float) -> int:
    return known.remaining('planner', 'patient', produced, quantile)


class LengthsTest(unittest.TestCase):
    """Quantiles of the remaining length."""

    @SETTINGS
    @hypothesis.given(
        strategies.lists(TOKENS, max_size=50),
        strategies.integers(0, 30_000),
        strategies.floats(0.05, 0.95),
        strategies.floats(0.05, 0.95),
    )
    def test_grows_with_the_quantile(self, values, produced, one, two):
        known = observed(values)
        low, high = sorted((one, two))
        least = remaining(known, produced, low)
        self.assertGreaterEqual(least, 1)
        self.assertLessEqual(least, remaining(known, produced, high))

    @SETTINGS
    @hypothesis.given(TOKENS, strategies.floats(0.05, 0.95))
    def test_learns_a_constant_length(self, tokens, quantile):
        known = observed([tokens], repeat=1200)
        self.assertAlmostEqual(
            remaining(known, 0, quantile), tokens, delta=1 + tokens * ACCURACY
        )

    @SETTINGS
    @hypothesis.given(TOKENS, TOKENS)
    def test_forgets_after_a_shift(self, before, after):
        known = observed([before], repeat=600)
        for _ in range(1100):
            known.record('planner', 'patient', after, 0.0)
        for quantile in (0.02, 0.98):
            self.assertAlmostEqual(
                remaining(known, 0, quantile),
                after,
                delta=1 + after * ACCURACY,
            )

    def test_what_has_come_tells_of_what_will(self):
        known = observed([10] * 90 + [5000] * 10, repeat=10)
        self.assertLess(remaining(known, 0, 0.5), 20)
        self.assertGreater(remaining(known, 100, 0.5), 4000)

    def test_longer_than_anything_seen_may_go_on(self):
        known = observed([10], repeat=1200)
        self.assertGreaterEqual(remaining(known, 8000, 0.5), 1000)

    def test_sensible_before_anything_was_seen(self):
        self.assertIn(remaining(lengths.Lengths(), 0, 0.5), range(16, 4097))


if __name__ == '__main__':
    unittest.main()
