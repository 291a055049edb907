"""Engines that fail while their health check is good.

Pattern: one of 24 engines goes down and up by turns. It is always empty, so it
draws all work; 26 gateways that learn each for itself lose one or two
generations each to it. Played so, 20 were lost in five seconds.
"""

from __future__ import annotations

import random
import unittest

from quetzalsill_gateway.balance import choose, failure_score, upstream_stats
from quetzalsill_gateway.fleet import upstream, usage

GATEWAYS = 26


class FailureScoreTest(unittest.TestCase):
    """How failures fade."""

    def test_two_failures_take_it_out_for_a_while(self):
        seen = failure_score.FailureScore()
        seen.record_failure(0.0)
        self.assertIs(
            failure_score.health_state(seen.decayed(0.1)),
            failure_score.HealthState.ON_TRIAL,
        )
        seen.record_failure(0.1)
        states = [
            failure_score.health_state(seen.decayed(t))
            for t in (0.2, 4.0, 60.0)
        ]
        self.assertEqual(
            states,
            [
                failure_score.HealthState.FAULTY,
                failure_score.HealthState.ON_TRIAL,
                failure_score.HealthState.HEALTHY,
            ],
        )

    def test_the_more_in_a_row_the_longer(self):
        def out_s(row):
            seen = failure_score.FailureScore()
            for n in range(row):
                seen.record_failure(n * 0.1)
            return next(
                t
                for t in range(1000)
                if failure_score.health_state(seen.decayed(t))
                is not failure_score.HealthState.FAULTY
                and t > row
            )

        times = [out_s(row) for row in (2, 3, 4, 5)]
        self.assertEqual(times, sorted(times))
        self.assertGreater(times[-1], 2 * times[0])

    def test_a_success_ends_the_row(self):
        seen = failure_score.FailureScore()
        for _ in range(5):
            seen.record_failure(0.0)
        slow = seen.decayed(3.0)
        seen.record_success()
        self.assertLess(seen.decayed(3.0), slow)


class WithoutFaultyTest(unittest.IsolatedAsyncioTestCase):
    """Six engines and what 26 gateways have seen of them."""

    async def asyncSetUp(self):
        self.found = [
            upstream.Upstream(f'u-{n}', 's', ('10.0.0.1', n), 'a', 6)
            for n in range(6)
        ]
        self.stats_table = upstream_stats.StatsTable()
        random.seed(5)

    def set_failures(self, number, failures, *, by=1, runs=0):
        for gateway in range(by):
            stats = self.stats_table.of(self.found[number])
            stats.set_peer_load(
                f'g-{gateway}', usage.Usage(0, 0, runs, failures=failures)
            )

    def healthy(self):
        return choose.without_faulty(self.found, self.stats_table, GATEWAYS)

    async def test_what_other_gateways_saw_counts(self):
        self.set_failures(2, 1.0, by=2)
        self.assertNotIn(self.found[2], self.healthy())

    async def test_one_request_at_a_time_tries_it(self):
        """Of all gateways about one tries it, and none beside a run there."""
        self.set_failures(2, 1.0)
        tries = sum(
            self.found[2] in self.healthy() for _ in range(GATEWAYS * 40)
        )
        self.assertGreater(tries, 15)
        self.assertLess(tries, 80)
        self.set_failures(2, 1.0, runs=1)
        tries = sum(
            self.found[2] in self.healthy() for _ in range(GATEWAYS * 40)
        )
        self.assertEqual(tries, 0)

    async def test_never_all_of_a_service_at_once(self):
        """A cause that all share, such as the network, takes out nobody."""
        for number in range(3):
            self.set_failures(number, 5.0)
        self.assertEqual(self.healthy(), self.found)


if __name__ == '__main__':
    unittest.main()
