"""How often gateways tell each other, by how many they are."""

from __future__ import annotations

import unittest

from quetzalsill_gateway.fleet import pace


class PaceTest(unittest.TestCase):
    """Small fleets tell at once; large ones take in no more than they."""

    def test_small_fleets_tell_at_once(self):
        for gateways in (1, 4, 24, 68):
            self.assertEqual(pace.gap_s(gateways), 0.0)
            self.assertEqual(pace.whole_s(gateways), pace.WHOLE_S)
            self.assertEqual(pace.silent_s(gateways), pace.SILENT_S)
            self.assertEqual(pace.candidates(gateways, 30, 2.0), 30)

    def test_what_is_taken_in_stays_flat(self):
        """300 gateways that each tell all others fill the thin links."""
        for gateways in (100, 200, 300):
            each_per_s = 1 / pace.gap_s(gateways)
            self.assertLess(gateways * each_per_s, 5 * pace.NEAR)
        self.assertLess(480 / pace.gap_s(480), 3 * pace.NEAR)

    def test_one_that_tells_is_not_taken_for_silent(self):
        for gateways in (1, 70, 71, 150, 300, 2000):
            told_s = max(pace.alive_s(gateways), pace.gap_s(gateways))
            self.assertGreaterEqual(pace.silent_s(gateways), 3 * told_s)
            self.assertGreaterEqual(pace.whole_s(gateways), told_s)

    def test_a_flood_of_names_does_not_silence_the_fleet(self):
        self.assertEqual(pace.gap_s(100_000), pace.MOST_GAP_S)

    def test_choices_on_old_figures_spread(self):
        """All choose the emptiest engine until it is known to be full."""
        count = pace.candidates(300, 135, 0.45)
        self.assertGreaterEqual(count, pace.LEAST_CANDIDATES)
        self.assertLess(count, 135 / 10)
        self.assertEqual(pace.candidates(300, 135, 0.0), 135)


if __name__ == '__main__':
    unittest.main()
