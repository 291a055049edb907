"""The headroom follows the memory that latency-sensitive work holds."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill_sidecar.queue import headroom

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
HELD = strategies.lists(strategies.integers(0, 20_000), min_size=1)


class HeadroomTest(unittest.TestCase):
    """Steady, varying and past use."""

    @SETTINGS
    @hypothesis.given(HELD)
    def test_stays_within_what_was_held(self, held):
        kept = headroom.Headroom()
        for second, tokens in enumerate(held):
            kept.note(tokens, float(second))
        self.assertGreaterEqual(kept.reserve(), 0)
        self.assertLessEqual(kept.reserve(), 2.5 * max(held) + 1e-6)

    def test_steady_use_is_kept_and_past_use_forgotten(self):
        kept = headroom.Headroom()
        for second in range(200):
            kept.note(1000, float(second))
        self.assertAlmostEqual(kept.reserve(), 1000, delta=1)
        for second in range(200, 400):
            kept.note(0, float(second))
        self.assertAlmostEqual(kept.reserve(), 0, delta=1)

    def test_bursts_keep_more_than_the_mean(self):
        kept = headroom.Headroom()
        for second in range(200):
            kept.note(1000 * (second % 2), float(second))
        self.assertGreater(kept.reserve(), 1000)


if __name__ == '__main__':
    unittest.main()
