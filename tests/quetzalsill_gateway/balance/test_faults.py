"""Tests of outlier detection: engines that fail with a good health check.

Guards against one flapping engine of 24 that attracts all work because it is
always idle: 26 gateways that each detected it alone lost 20 generations in five
seconds.
"""

from __future__ import annotations

import random
import unittest

from quetzalsill_gateway.balance import choose, faults, upstream_stats
from quetzalsill_gateway.fleet import upstream, usage

GATEWAYS = 26


class FailureScoreTest(unittest.TestCase):
    """Decay of the score."""

    def test_two_failures_take_it_out_for_a_while(self):
        score = faults.FailureScore()
        score.record_failure(0.0)
        self.assertIs(
            faults.health_state(score.decayed(0.1)),
            faults.HealthState.ON_TRIAL,
        )
        score.record_failure(0.1)
        states = [
            faults.health_state(score.decayed(t)) for t in (0.2, 4.0, 60.0)
        ]
        self.assertEqual(
            states,
            [
                faults.HealthState.FAULTY,
                faults.HealthState.ON_TRIAL,
                faults.HealthState.HEALTHY,
            ],
        )

    def test_consecutive_failures_exclude_it_for_longer(self):
        def excluded_s(failures):
            score = faults.FailureScore()
            for n in range(failures):
                score.record_failure(n * 0.1)
            return next(
                t
                for t in range(1000)
                if faults.health_state(score.decayed(t))
                is not faults.HealthState.FAULTY
                and t > failures
            )

        times = [excluded_s(n) for n in (2, 3, 4, 5)]
        self.assertEqual(times, sorted(times))
        self.assertGreater(times[-1], 2 * times[0])

    def test_a_success_resets_the_count(self):
        score = faults.FailureScore()
        for _ in range(5):
            score.record_failure(0.0)
        before = score.decayed(3.0)
        score.record_success()
        self.assertLess(score.decayed(3.0), before)


class WithoutFaultyTest(unittest.IsolatedAsyncioTestCase):
    """Six engines, with the failures that 26 gateways have seen."""

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
        """About one gateway at a time probes it, and none beside a run."""
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
        """A common cause such as the network excludes no engine."""
        for number in range(3):
            self.set_failures(number, 5.0)
        self.assertEqual(self.healthy(), self.found)


if __name__ == '__main__':
    unittest.main()
