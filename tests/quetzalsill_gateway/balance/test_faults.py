"""Engines that fail while their health check is good.

Pattern: one of 24 engines goes down and up by turns. It is always empty, so it
draws all work; 26 gateways that learn each for itself lose one or two
generations each to it. Played so, 20 were lost in five seconds.
"""

from __future__ import annotations

import random
import unittest

from quetzalsill_gateway.balance import choose, faults, upstream_stats
from quetzalsill_gateway.fleet import held, upstream

GATEWAYS = 26


class FaultsTest(unittest.TestCase):
    """How failures fade."""

    def test_two_failures_take_it_out_for_a_while(self):
        seen = faults.Faults()
        seen.fail(0.0)
        self.assertIs(
            faults.standing(seen.recent(0.1)), faults.Standing.ON_TRIAL
        )
        seen.fail(0.1)
        standing = [faults.standing(seen.recent(t)) for t in (0.2, 4.0, 60.0)]
        self.assertEqual(
            standing,
            [
                faults.Standing.FAULTY,
                faults.Standing.ON_TRIAL,
                faults.Standing.SOUND,
            ],
        )

    def test_the_more_in_a_row_the_longer(self):
        def out_s(row):
            seen = faults.Faults()
            for n in range(row):
                seen.fail(n * 0.1)
            return next(
                t
                for t in range(1000)
                if faults.standing(seen.recent(t)) is not faults.Standing.FAULTY
                and t > row
            )

        times = [out_s(row) for row in (2, 3, 4, 5)]
        self.assertEqual(times, sorted(times))
        self.assertGreater(times[-1], 2 * times[0])

    def test_a_success_ends_the_row(self):
        seen = faults.Faults()
        for _ in range(5):
            seen.fail(0.0)
        slow = seen.recent(3.0)
        seen.succeed()
        self.assertLess(seen.recent(3.0), slow)


class SoundTest(unittest.IsolatedAsyncioTestCase):
    """Six engines and what 26 gateways have seen of them."""

    async def asyncSetUp(self):
        self.found = [
            upstream.Upstream(f'u-{n}', 's', ('10.0.0.1', n), 'a', 6)
            for n in range(6)
        ]
        self.stats_table = upstream_stats.StatsTable()
        random.seed(5)

    def told(self, number, failures, *, by=1, runs=0):
        for gateway in range(by):
            stats = self.stats_table.of(self.found[number])
            stats.set_peer_load(
                f'g-{gateway}', held.Held(0, 0, runs, failures=failures)
            )

    def sound(self):
        return choose.sound(self.found, self.stats_table, GATEWAYS)

    async def test_what_other_gateways_saw_counts(self):
        self.told(2, 1.0, by=2)
        self.assertNotIn(self.found[2], self.sound())

    async def test_one_request_at_a_time_tries_it(self):
        """Of all gateways about one tries it, and none beside a run there."""
        self.told(2, 1.0)
        tries = sum(self.found[2] in self.sound() for _ in range(GATEWAYS * 40))
        self.assertGreater(tries, 15)
        self.assertLess(tries, 80)
        self.told(2, 1.0, runs=1)
        tries = sum(self.found[2] in self.sound() for _ in range(GATEWAYS * 40))
        self.assertEqual(tries, 0)

    async def test_never_all_of_a_service_at_once(self):
        """A cause that all share, such as the network, takes out nobody."""
        for number in range(3):
            self.told(number, 5.0)
        self.assertEqual(self.sound(), self.found)


if __name__ == '__main__':
    unittest.main()
