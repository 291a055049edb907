"""Tests of the difference between two checkouts."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from quetzalsill_dev.compare import benchmark_run, summary

FIGURE = st.floats(-1, 1)
REPORT = {
    'G': 0.5,
    'served': 0.9,
    'all': {'late': 3, 'refused': 2, 'failed': 1},
    'classes': [{'name': 'plan', 'late': 1, 'refused': 2, 'failed': 3}],
    'prices': [['processor seconds', 1.0, 0.1], ['calls', 2.0, 0.2]],
    'breaks': {},
}


class SummaryTest(unittest.TestCase):
    """A difference has an interval that shows whether it is significant."""

    @given(st.lists(st.tuples(FIGURE, FIGURE), min_size=1, max_size=8))
    def test_the_mean_lies_among_the_pairs_and_the_interval_is_one(self, pairs):
        found = summary.between(pairs)
        apart = [after - before for before, after in pairs]
        self.assertLessEqual(found.low, found.high)
        self.assertGreaterEqual(found.mean, min(apart) - 1e-9)
        self.assertLessEqual(found.mean, max(apart) + 1e-9)

    def test_difference_within_noise_is_not_clear(self):
        """Guards against accepting a change because of one outlier.

        One of three pairs is far better and the others a little worse, so that
        the mean alone shows a gain.
        """
        self.assertFalse(
            summary.between([(0.5, 0.6), (0.5, 0.48), (0.5, 0.49)]).is_clear
        )
        self.assertTrue(summary.between([(0.5, 0.52)] * 3).is_clear)

    def test_machine_dependent_prices_are_excluded(self):
        found = benchmark_run.parse_report(REPORT)
        self.assertEqual(found.counts['price calls'], 0.2)
        self.assertNotIn('price processor seconds', found.counts)
        self.assertEqual(found.counts['lost plan'], 5)


if __name__ == '__main__':
    unittest.main()
