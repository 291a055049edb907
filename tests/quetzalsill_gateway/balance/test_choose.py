"""Tests of the choice of the upstream for a request."""

from __future__ import annotations

import asyncio
import collections
import types
import unittest
from unittest import mock

from quetzalsill_gateway import routing_table
from quetzalsill_gateway.balance import choose, upstream_stats
from quetzalsill_gateway.fleet import upstream
from quetzalsill_gateway.fleet import usage as usage_lib

ENGINE = routing_table.Engine(24, 30_000, 18432.0, 2700.0, can_move=True)


class ChooseTest(unittest.IsolatedAsyncioTestCase):
    """Six upstreams in two availability zones."""

    async def asyncSetUp(self):
        self.found = [
            upstream.Upstream(f'u-{n}', 's', ('10.0.0.1', n), zone, 6)
            for n, zone in enumerate('aaabbb')
        ]
        self.stats_table = upstream_stats.StatsTable()

    def hold(self, number, tokens, count=1):
        stats = self.stats_table.of(self.found[number])
        for _ in range(count):
            stats.reservations.add(upstream_stats.Reservation(0, tokens, False))

    def engine(self, **more):
        return choose.choose_engine(
            self.found, self.stats_table, 'a', ENGINE, 4000, **more
        )

    async def test_a_full_engine_is_left_out(self):
        for number in range(5):
            self.hold(number, 7000, 4)
        for _ in range(20):
            self.assertIs(self.engine(), self.found[5])

    async def test_what_other_gateways_hold_counts(self):
        """An engine that is full with the work of peers looks idle."""
        for number in range(5):
            self.stats_table.replace_peer_loads(
                'entry-2',
                {
                    f'u-{n}': usage_lib.Usage(28_000, 0, 7)
                    for n in range(number + 1)
                },
            )
        for _ in range(20):
            self.assertIs(self.engine(), self.found[5])

    async def test_a_latency_that_was_high_once_is_measured_again(self):
        """An idle server that was slow once never gets another call."""
        now = asyncio.get_running_loop().time()
        for found in self.found:
            self.stats_table.of(found).record_latency(0.03)
        slow = self.stats_table.of(self.found[0])
        for _ in range(10):
            slow.record_latency(0.3)
        self.assertIsNot(self.call(), self.found[0])
        later = types.SimpleNamespace(time=lambda: now + 60.0)
        with mock.patch('asyncio.get_running_loop', return_value=later):
            for found in self.found[1:]:
                self.stats_table.of(found).record_latency(0.03)
            self.assertIs(self.call(), self.found[0])
            slow.record_latency(0.3)
            self.assertIsNot(self.call(), self.found[0])

    def call(self):
        return choose.choose_for_call(self.found, self.stats_table, 'a')

    async def test_leaving_and_tried_ones_are_left_out(self):
        self.found[0].leaving = True
        tried = frozenset(('u-1', 'u-2', 'u-3', 'u-4'))
        self.assertIs(self.engine(avoid=tried), self.found[5])
        self.assertIsNone(self.engine(avoid=tried | {'u-5'}))

    async def test_memory_counts_for_more_than_a_short_queue(self):
        """Engines with short queues collect runs until memory runs out."""
        for number in range(1, 6):
            self.hold(number, 5000, 4)
        self.hold(0, 4000, 3)
        stats = self.stats_table.of(self.found[0])
        stats.reservations.add(upstream_stats.Reservation(1500, 1500, True))
        for _ in range(20):
            self.assertIs(self.engine(), self.found[0])

    async def test_work_spreads(self):
        counts = collections.Counter()
        for _ in range(60):
            chosen = self.engine()
            counts[chosen.id] += 1
            stats = self.stats_table.of(chosen)
            stats.reservations.add(upstream_stats.Reservation(3000, 4000, True))
        self.assertLessEqual(max(counts.values()), 13)

    async def test_the_prefill_rate_is_learned(self):
        """A slow engine is sent three prompts, and prefills one in time."""
        before_s = self.stats_table.prefill_s(7000)
        for _ in range(200):
            self.stats_table.record_prefill(4600, 2.0)
        self.assertAlmostEqual(
            self.stats_table.prefill_s(2300), 1.0, delta=0.05
        )
        self.assertGreater(self.stats_table.prefill_s(7000), 2.5 * before_s)
        self.stats_table.record_prefill(4600, 1e-9)
        self.assertLess(self.stats_table.prefill_tokens_per_s, 4000)

    async def test_a_failing_server_gets_less(self):
        failing = self.stats_table.of(self.found[0])
        for _ in range(5):
            failing.record_failure()
        chosen = {
            choose.choose_for_call(self.found, self.stats_table, 'a').id
            for _ in range(50)
        }
        self.assertNotIn('u-0', chosen)

    async def test_non_repeatable_calls_avoid_one_that_hangs(self):
        """Each gateway loses calls until it detects a hanging server alone."""
        loads = {'u-0': usage_lib.Usage(0, 0, 0, failures=2.0)}
        self.stats_table.replace_peer_loads('entry-2', loads)
        near = [self.found[0], self.found[5]]

        def chosen(may_repeat):
            return {
                choose.choose_for_call(
                    near, self.stats_table, 'a', may_repeat=may_repeat
                ).id
                for _ in range(50)
            }

        self.assertEqual(chosen(False), {'u-5'})
        busy = self.stats_table.of(self.found[5])
        busy.outstanding = 6 * 15
        self.assertEqual(chosen(True), {'u-0'})
        self.assertEqual(chosen(False), {'u-5'})
        self.stats_table.replace_peer_loads('entry-2', {})
        self.assertEqual(chosen(False), {'u-0'})

    async def test_one_slow_call_is_no_hang(self):
        """A slow call taken for a hang moves its server's work to others."""
        stats = self.stats_table.of(self.found[0])
        now = asyncio.get_running_loop().time()
        for one in self.found:
            self.stats_table.of(one).record_latency(0.02)
        stats.record_hang(now - 0.5)
        self.assertEqual(stats.fleet_hangs(now), 0.0)
        stats.record_hang(now + 0.5)
        self.assertGreater(stats.fleet_hangs(now), 0.0)
        chosen = {
            choose.choose_for_call(
                self.found[:3], self.stats_table, 'a', may_repeat=False
            ).id
            for _ in range(50)
        }
        self.assertIn(
            'u-0', chosen, 'the request may be the cause of a single one'
        )

    async def test_failures_of_unary_calls_are_not_announced(self):
        """Each failure of a call causes a datagram to every gateway."""
        stats = self.stats_table.of(self.found[0])
        now = asyncio.get_running_loop().time()
        for _ in range(5):
            stats.record_failure()
        self.assertEqual(stats.published_failures(now), 0.0)
        stats.record_hang(now)
        self.assertGreater(stats.published_failures(now), 0.0)
        stats.serves_streams = True
        self.assertGreater(stats.published_failures(now), 3.0)

    async def test_runs_of_one_engine_spread_over_destinations(self):
        """The runs of a leaving engine are spread over several destinations.

        All gateways know the same load: if each chose the emptiest engine, all
        runs would go through one link.
        """
        chosen = collections.Counter(
            choose.rank_destinations(
                self.found,
                self.stats_table,
                self.found[0],
                ENGINE,
                b'%d' % n,
                4000,
            )[0].id
            for n in range(60)
        )
        self.assertEqual(set(chosen), {'u-1', 'u-2'}, 'within the zone')
        self.assertGreater(min(chosen.values()), 15)

    async def test_a_run_leaves_its_zone_only_if_there_is_no_room(self):
        self.hold(1, 9000, 3)
        self.hold(2, 9000, 3)
        order = choose.rank_destinations(
            self.found, self.stats_table, self.found[0], ENGINE, b'r', 4000
        )
        self.assertEqual(order[0].availability_zone, 'b')
        self.assertNotIn(self.found[0], order)

    async def test_a_run_moves_to_an_engine_that_is_fast_enough(self):
        """A run moves within its zone to where its gaps become too long."""

        def order():
            return choose.rank_destinations(
                self.found,
                self.stats_table,
                self.found[0],
                ENGINE,
                b'r',
                4000,
                lambda one: one.id in ('u-4', 'u-5'),
            )

        self.assertEqual({one.id for one in order()[:2]}, {'u-4', 'u-5'})
        self.assertEqual({one.id for one in order()[2:4]}, {'u-1', 'u-2'})
        self.hold(4, 9000, 3)
        self.assertEqual(order()[0].id, 'u-5')
        self.hold(5, 9000, 3)
        first = {one.id for one in order()[:3]}
        self.assertEqual(first, {'u-1', 'u-2', 'u-3'}, 'no room goes last')


if __name__ == '__main__':
    unittest.main()
