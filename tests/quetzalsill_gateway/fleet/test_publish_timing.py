"""How often gateways publish their state, by the size of the fleet."""

from __future__ import annotations

import unittest

from quetzalsill_gateway.fleet import publish_timing


class PublishTimingTest(unittest.TestCase):
    """Large fleets receive no more datagrams than small ones."""

    def test_small_fleets_publish_immediately(self):
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

    def test_received_datagrams_stay_constant(self):
        """Without batching, the states of 300 gateways fill slow links."""
        for gateways in (100, 200, 300):
            each_per_s = 1 / publish_timing.min_interval_s(gateways)
            self.assertLess(
                gateways * each_per_s, 5 * publish_timing.SMALL_FLEET
            )
        self.assertLess(
            480 / publish_timing.min_interval_s(480),
            3 * publish_timing.SMALL_FLEET,
        )

    def test_publishing_gateway_does_not_time_out(self):
        for gateways in (1, 70, 71, 150, 300, 2000):
            interval_s = max(
                publish_timing.keepalive_s(gateways),
                publish_timing.min_interval_s(gateways),
            )
            self.assertGreaterEqual(
                publish_timing.peer_timeout_s(gateways), 3 * interval_s
            )
            self.assertGreaterEqual(
                publish_timing.full_state_s(gateways), interval_s
            )

    def test_flood_of_names_does_not_silence_the_fleet(self):
        self.assertEqual(
            publish_timing.min_interval_s(100_000),
            publish_timing.MAX_INTERVAL_S,
        )

    def test_choices_from_stale_state_spread(self):
        """Otherwise all choose the emptiest engine until it is known full."""
        count = publish_timing.candidate_count(300, 135, 0.45)
        self.assertGreaterEqual(count, publish_timing.MIN_CANDIDATES)
        self.assertLess(count, 135 / 10)
        self.assertEqual(publish_timing.candidate_count(300, 135, 0.0), 135)


if __name__ == '__main__':
    unittest.main()
