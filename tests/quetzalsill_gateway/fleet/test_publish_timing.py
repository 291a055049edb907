"""How often gateways tell each other, by how many they are."""

from __future__ import annotations

import unittest

from quetzalsill_gateway.fleet import publish_timing


class PublishTimingTest(unittest.TestCase):
    """Small fleets tell at once; large ones take in no more than they."""

    def test_small_fleets_tell_at_once(self):
        for gateways in (1, 4, 24, 68):
            self.assertEqual(publish_timing.min_interval_s(gateways), 0.0)
            self.assertEqual(
                publish_timing.full_state_s(gateways),
                publish_timing.FULL_STATE_S,
            )
            self.assertEqual(
                publish_timing.peer_timeout_s(gateways),
                publish_timing.PEER_TIMEOUT_S,
            )
            self.assertEqual(
                publish_timing.candidate_count(gateways, 30, 2.0), 30
            )

    def test_what_is_taken_in_stays_flat(self):
        """300 gateways that each tell all others fill the thin links."""
        for gateways in (100, 200, 300):
            each_per_s = 1 / publish_timing.min_interval_s(gateways)
            self.assertLess(
                gateways * each_per_s, 5 * publish_timing.SMALL_FLEET
            )
        self.assertLess(
            480 / publish_timing.min_interval_s(480),
            3 * publish_timing.SMALL_FLEET,
        )

    def test_one_that_tells_is_not_taken_for_silent(self):
        for gateways in (1, 70, 71, 150, 300, 2000):
            told_s = max(
                publish_timing.keepalive_s(gateways),
                publish_timing.min_interval_s(gateways),
            )
            self.assertGreaterEqual(
                publish_timing.peer_timeout_s(gateways), 3 * told_s
            )
            self.assertGreaterEqual(
                publish_timing.full_state_s(gateways), told_s
            )

    def test_a_flood_of_names_does_not_silence_the_fleet(self):
        self.assertEqual(
            publish_timing.min_interval_s(100_000),
            publish_timing.MAX_INTERVAL_S,
        )

    def test_choices_on_old_figures_spread(self):
        """All choose the emptiest engine until it is known to be full."""
        count = publish_timing.candidate_count(300, 135, 0.45)
        self.assertGreaterEqual(count, publish_timing.MIN_CANDIDATES)
        self.assertLess(count, 135 / 10)
        self.assertEqual(publish_timing.candidate_count(300, 135, 0.0), 135)


if __name__ == '__main__':
    unittest.main()
