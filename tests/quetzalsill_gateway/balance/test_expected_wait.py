"""The expected wait for memory and for queued prefill."""

from __future__ import annotations

import unittest

from quetzalsill_gateway.balance import expected_wait

FLEET = expected_wait.Fleet(5.0, 7000.0)
WANTED = expected_wait.Wanted(4000, prefill_s=0.4, in_time_s=1.4)
NONE_AHEAD = expected_wait.Ahead()
BoundBy = expected_wait.BoundBy


def engines(*prefill_tokens, free=9000.0):
    return [
        expected_wait.EngineLoad(free, 18_000, one) for one in prefill_tokens
    ]


def estimate(loads, ahead=NONE_AHEAD, wanted=WANTED):
    return expected_wait.estimate(loads, wanted, ahead, FLEET)


class ExpectedWaitTest(unittest.TestCase):
    """What limits a generation, and for how long."""

    def test_prefill_counts_while_memory_is_free(self):
        """All engines are busy with prefill: the expected wait was 0."""
        found = estimate(engines(14_000, 21_000, 28_000))
        self.assertEqual(found.bound_by, BoundBy.PREFILL)
        self.assertAlmostEqual(found.seconds, 1.7)

    def test_prefill_within_the_slack_is_no_wait(self):
        """A short queue of prompts does not reject requests."""
        self.assertEqual(estimate(engines(6900, 90_000)), expected_wait.NO_WAIT)

    def test_prompts_ahead_fill_the_idle_engines_first(self):
        """In a burst of one kind, the last request waits for the first ones."""
        ahead = expected_wait.Ahead(0, 21_000.0)
        found = estimate(engines(0, 7000, 90_000), ahead)
        self.assertAlmostEqual(found.seconds, 2.0 - 0.3)

    def test_prompts_ahead_without_memory_are_not_prefill(self):
        """A burst at peers that waits for memory is not counted twice."""
        ahead = expected_wait.Ahead(10**9, 10**9)
        found = estimate(engines(0, 0), ahead)
        self.assertEqual(found.bound_by, BoundBy.MEMORY)

    def test_an_idle_engine_without_memory_does_not_hide_queued_prefill(self):
        """Engines with free memory were busy, those that were idle were full.

        The wait lasts until one of the two has room.
        """
        loads = [*engines(21_000), *engines(0, free=-5000.0)]
        found = estimate(loads)
        self.assertEqual(found.bound_by, BoundBy.PREFILL)
        self.assertAlmostEqual(found.seconds, 9000 * 5 / 18_000 - 0.3)

    def test_the_longer_of_both_counts(self):
        """Memory and queued prompts become free at the same time."""
        loads = engines(14_000, 14_000, free=0.0)
        self.assertEqual(estimate(loads).bound_by, BoundBy.PREFILL)
        found = estimate(loads, expected_wait.Ahead(50_000))
        self.assertEqual(found.bound_by, BoundBy.MEMORY)
        self.assertAlmostEqual(found.seconds, 54_000 * 5 / 36_000)

    def test_no_engines_and_zero_rates(self):
        """A service without engines, or without samples, raises nothing."""
        self.assertEqual(estimate([]), expected_wait.NO_WAIT)
        fleet = expected_wait.Fleet(0.0, 0.0)
        found = expected_wait.estimate(
            engines(9, free=0.0), WANTED, expected_wait.Ahead(), fleet
        )
        self.assertEqual(found.seconds, 0.0)


if __name__ == '__main__':
    unittest.main()
