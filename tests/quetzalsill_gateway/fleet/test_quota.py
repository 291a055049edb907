"""What all gateways together send to one upstream.

Guards against two failures. Engines return cold, all gateways see them empty,
and more than a few requests a second crash them. A plain server hangs, calls
pile up on its connections, and it resets those above its limit together with
the requests on them.
"""

from __future__ import annotations

import asyncio
import collections
import random
import types
import unittest

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import source
from quetzalsill_gateway.fleet import (
    members,
    quota,
    upstream,
)

SEED = 3
NONE_OPEN = quota.Connections(0, 0)
# The platforms served so far allow one and a half times the rate, and five
# requests.
WARMUP = quota.Warmup(1.5, 5.0)
TOLERANCE = quota.Tolerance(1.5, 5.0, 4.0)
# Maximum time between two states that a gateway publishes.
PUBLISH_INTERVAL_S = 1.0


def limit(per_s):
    """Returns the requests that a cold upstream accepts in one second."""
    return per_s * WARMUP.overage + WARMUP.allowance


def table(per_s=0.0, max_connections=0):
    """Returns a stand-in for a configuration with one service."""
    service = types.SimpleNamespace(
        warmup_per_s=per_s, max_connections=max_connections
    )
    return types.SimpleNamespace(services={'s': service})


def holder(**figures):
    found = source.RoutingTableHolder()
    found.current = table(**figures)
    return found


class Fleet:
    """Gateways that always have requests for one cold upstream."""

    def __init__(self, gateways, per_s):
        self.rng = random.Random(SEED)
        self.holder = holder(per_s=per_s)
        self.names = [f'entry-{n}' for n in range(gateways)]
        self.is_partitioned = lambda one, other: False
        self.paused = set()
        self.sent_s = []
        self.sent_by = collections.Counter()
        self.members = {}
        self.tasks = []
        self.target = upstream.Upstream(
            'u', 's', ('10.0.0.1', 1), 'z', warmup_s=99.0, cold_until_s=1e9
        )

    async def start(self):
        now = asyncio.get_running_loop().time()
        for name in self.names:
            self.add(name)
        for found in self.members.values():
            found.add_listed(self.names, now)

    def add(self, name):
        """Starts a gateway that knows no others yet."""
        self.members[name] = members.Members(name)
        loop = asyncio.get_running_loop()
        for work in (self.publish(name), self.send(name)):
            self.tasks.append(loop.create_task(work))

    async def publish(self, name):
        loop = asyncio.get_running_loop()
        while name in self.members:
            await asyncio.sleep(PUBLISH_INTERVAL_S * self.rng.uniform(0.5, 1.0))
            if name in self.paused:
                continue
            for other, found in self.members.items():
                if other != name and not self.is_partitioned(name, other):
                    found.mark_seen((name,), loop.time())

    async def send(self, name):
        """Sends whenever it may, which is more than callers ever request."""
        found = quota.Quota(
            self.holder, self.members[name], WARMUP, lambda _: NONE_OPEN
        )
        loop = asyncio.get_running_loop()
        while name in self.members:
            await asyncio.sleep(self.rng.uniform(0.001, 0.02))
            if name not in self.paused and found.allows(self.target):
                found.consume(self.target)
                self.sent_s.append(loop.time())
                self.sent_by[name] += 1

    def stop(self):
        for task in self.tasks:
            task.cancel()

    def max_in_window(self, window_s=1.0):
        """Returns the maximum number of requests in any sliding window."""
        highest, first = 0, 0
        for last, sent_s in enumerate(self.sent_s):
            while sent_s - self.sent_s[first] >= window_s:
                first += 1
            highest = max(highest, last - first + 1)
        return highest


class ColdTest(unittest.TestCase):
    """The rate at which a fleet sends to one cold upstream."""

    def play(self, story, gateways, per_s):
        async def work():
            self.fleet = Fleet(gateways, per_s)
            await self.fleet.start()
            try:
                await story()
            finally:
                self.fleet.stop()

        clock.run(work)
        self.assertLessEqual(self.fleet.max_in_window(), limit(per_s))

    def test_rate_is_used_and_not_exceeded(self):
        for gateways in (1, 2, 24, 68):
            for per_s in (2.0, 35.0):
                with self.subTest((gateways, per_s)):

                    async def story():
                        await asyncio.sleep(10.0)

                    self.play(story, gateways, per_s)
                    self.assertGreater(len(self.fleet.sent_s) / 10.0, per_s / 2)

    def test_gateways_lost_partitioned_paused_and_new(self):
        """A partition halves the fleet, and gateways stop, pause and start.

        Each half, and a gateway that has just started and knows no others,
        could use the whole rate for itself.
        """

        async def story():
            fleet = self.fleet
            await asyncio.sleep(3.0)
            half = set(fleet.names[::2])
            fleet.is_partitioned = lambda one, other: (
                (one in half) != (other in half)
            )
            fleet.paused = set(fleet.names[:5])
            await asyncio.sleep(6.0)
            fleet.paused = set()
            for name in fleet.names[5:8]:
                del fleet.members[name]
            for number in range(3):
                fleet.add(f'fresh-{number}')
                found = fleet.members[f'fresh-{number}']
                found.add_listed(
                    fleet.members, asyncio.get_running_loop().time()
                )
            await asyncio.sleep(6.0)
            fleet.is_partitioned = lambda one, other: False
            await asyncio.sleep(6.0)

        for gateways in (24, 68):
            for per_s in (2.0, 35.0):
                with self.subTest((gateways, per_s)):
                    self.play(story, gateways, per_s)

    def test_gateway_without_directory_sends_nothing(self):
        """It started in an outage and may be partitioned from the others."""

        async def story():
            self.fleet.add('fresh')
            await asyncio.sleep(5.0)
            self.assertEqual(self.fleet.sent_by['fresh'], 0)

        self.play(story, 2, 35.0)

    def test_rate_is_shared_by_many(self):
        """A single owner of the rate would only serve its own callers."""

        async def story():
            await asyncio.sleep(10.0)
            self.assertGreaterEqual(len(self.fleet.sent_by), 24 / 3)

        self.play(story, 24, 35.0)

    def test_warm_upstream_is_not_limited(self):
        async def story():
            now = asyncio.get_running_loop().time()
            self.fleet.target.cold_until_s = now
            await asyncio.sleep(1.0)

        async def work():
            self.fleet = Fleet(4, 2.0)
            await self.fleet.start()
            await story()
            self.fleet.stop()

        clock.run(work)
        self.assertGreater(len(self.fleet.sent_s), 50)


class ConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """Shares of the connections that an upstream accepts."""

    def quota(self, gateways, total, found=NONE_OPEN):
        known = members.Members('entry-0')
        now = asyncio.get_running_loop().time()
        known.add_listed([f'entry-{n}' for n in range(gateways)], now)
        return quota.Quota(
            holder(max_connections=total), known, WARMUP, lambda _: found
        )

    async def test_sum_of_shares_stays_within_the_limit(self):
        target = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z')
        for gateways in (1, 2, 24, 68):
            for total in (470, 200, 100, 66):
                with self.subTest((gateways, total)):
                    share = self.quota(gateways, total).max_connections(target)
                    self.assertGreaterEqual(share, 1)
                    if gateways <= total:
                        self.assertLessEqual(share * gateways, total)

    async def test_room_for_connections_of_hosts_that_lost_power(self):
        """Idle connections of dead gateways stay open while they reconnect."""
        target = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z')
        for gateways in (1, 4, 24, 40):
            shares = self.quota(gateways, 200)
            used = shares.max_connections(target)
            idle = shares.max_idle(target)
            self.assertLessEqual(gateways * (used + idle), 200)

    async def test_hanging_upstream_gets_no_more_requests(self):
        """Calls hang on all connections that this gateway may open.

        The upstream would reset any further one, and with it a request that
        the caller may not be able to repeat.
        """
        target = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z')
        busy = quota.Connections(7, 0)
        self.assertFalse(self.quota(24, 200, busy).allows(target))
        resting = quota.Connections(7, 1)
        self.assertTrue(self.quota(24, 200, resting).allows(target))

    async def test_no_limit_unless_configured(self):
        target = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z')
        self.assertIsNone(self.quota(24, 0).max_connections(target))
        other = upstream.Upstream('u', 'unlisted', ('10.0.0.1', 1), 'z')
        self.assertTrue(self.quota(24, 200).allows(other))


class MembersTest(unittest.TestCase):
    """Which gateways count as members."""

    def test_silent_member_keeps_its_share_for_a_while(self):
        found = members.Members('b')
        found.mark_seen(['a', 'c'], 10.0)
        found.mark_seen(['a'], 40.0)
        self.assertEqual(found.names(69.0), ('a', 'b', 'c'))
        self.assertEqual(found.names(71.0), ('a', 'b'))
        self.assertEqual(found.names(200.0), ('b',))

    def test_number_of_members_is_bounded(self):
        found = members.Members('b')
        found.mark_seen((str(n) for n in range(10_000)), 1.0)
        self.assertEqual(len(found.names(2.0)), members.MAX_MEMBERS + 1)


if __name__ == '__main__':
    unittest.main()
