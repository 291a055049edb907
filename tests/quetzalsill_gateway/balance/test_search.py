"""The expected wait of a generation for an engine."""

from __future__ import annotations

import asyncio
import random
import types
import unittest

from quetzalsill_gateway import routing_table, source
from quetzalsill_gateway.balance import (
    expected_wait,
    forecast,
    queue_entry,
    search,
    upstream_stats,
)
from quetzalsill_gateway.fleet import (
    backoff,
    members,
    quota,
    revision,
    upstream,
)

ENGINE = routing_table.Engine(24, 10_000, 18432.0, 2700.0)
RANK = 3
TOKENS = 5000
# Times are far longer than any pause of the test's own process.
SLACK_S = 60.0
HELD_S = 4000.0


class PauseTest(unittest.IsolatedAsyncioTestCase):
    """A full engine, and an empty one that asks for a pause."""

    async def asyncSetUp(self):
        self.upstreams = upstreams = upstream.Upstreams()
        for number in (1, 2):
            upstreams.put(
                upstream.Upstream(
                    f'u-{number}', 's', ('10.0.0.1', number), 'z'
                ),
                revision.Revision(0, number),
            )
        self.stats_table = stats_table = upstream_stats.StatsTable()
        stats_table.mean_held_s = HELD_S
        self.full, self.empty = upstreams.all()
        stats_table.of(self.full).reservations.add(
            upstream_stats.Reservation(0, 11_000, False)
        )
        known = members.Members('entry-1')
        self.backoffs = backoff.Backoffs(known)
        now = asyncio.get_running_loop().time()
        self.search = search.EngineSearch(
            upstreams,
            stats_table,
            'z',
            quota.Quota(
                source.RoutingTableHolder(),
                known,
                quota.Warmup(),
                lambda _: quota.Connections(0, 0),
                backoffs=self.backoffs,
            ),
            types.SimpleNamespace(
                service=types.SimpleNamespace(name='s'),
                regions=None,
                is_suspect=False,
                route=types.SimpleNamespace(max_gap_s=None, objective_s=1.0),
            ),
            ENGINE,
            upstream_stats.Reservation(1000, TOKENS),
            frozenset(),
            queue_entry.QueueEntry(1, 0, 0, now + 60.0, TOKENS, now),
            forecast.Demand(),
            random.Random(5),
        )

    def pause(self, found, value):
        self.backoffs.record_response(found, 503, [value], None, 0.0)

    def wait_s(self):
        self.upstreams.mark_confirmed()
        now = asyncio.get_running_loop().time()
        found = self.search.expected_wait(now, RANK, expected_wait.Ahead())
        return found.seconds

    async def test_memory_is_left_to_other_accounts_at_peers(self):
        """An account ahead of its share took what others waited for."""
        now = asyncio.get_running_loop().time()
        self.stats_table.set_peer_waiting('entry-2', {'s': {RANK: 10**6}})
        self.search.entry.waiting_at_peers = lambda: (10**6, 0.0)
        self.assertIsNone(self.search.try_choose(now))
        self.assertTrue(self.search.has_yielded)
        # Nobody else waits any more, whatever the reports say.
        self.stats_table.set_peer_waiting('entry-2', {})
        self.assertIs(self.search.try_choose(now), self.empty)
        self.assertFalse(self.search.has_yielded)

    async def test_a_request_of_unknown_size_behind_others_at_peers(self):
        """Guards against an internal fault for one without token counts."""
        now = asyncio.get_running_loop().time()
        self.stats_table.set_peer_waiting('entry-2', {'s': {0: 100}})
        self.search.entry.tokens = 0
        self.assertIs(self.search.try_choose(now), self.empty)

    async def test_a_starving_request_yields_to_no_account(self):
        """An account far ahead of its share waited until its callers left."""
        now = asyncio.get_running_loop().time()
        self.stats_table.set_peer_waiting('entry-2', {'s': {RANK: 10**6}})
        entry = self.search.entry
        entry.waiting_at_peers = lambda: (10**6, 1.0)
        for first_at_s, yields in ((now + 1.0, True), (now, False)):
            entry.first_at_s = first_at_s
            self.search.try_choose(now)
            self.assertIs(self.search.has_yielded, yields)

    async def test_memory_behind_a_pause_counts_from_its_end(self):
        """A generation waited in vain for an engine that pauses for long."""
        self.assertEqual(self.wait_s(), 0.0)
        self.pause(self.empty, b'300')
        self.assertAlmostEqual(self.wait_s(), 300.0, delta=SLACK_S)

    async def test_memory_that_is_released_sooner_counts_first(self):
        self.pause(self.empty, b'60000')
        self.assertAlmostEqual(
            self.wait_s(), HELD_S * TOKENS / 11_000, delta=SLACK_S
        )

    async def test_the_first_end_counts_where_all_pause(self):
        self.pause(self.full, b'900')
        self.pause(self.empty, b'600')
        self.assertTrue(self.search.is_limited)
        self.assertAlmostEqual(
            self.search.rate_wait(0).seconds, 600.0, delta=SLACK_S
        )


if __name__ == '__main__':
    unittest.main()
