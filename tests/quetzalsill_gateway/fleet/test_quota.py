"""What all gateways together send to one upstream.

Patterns: engines come back cold, each in front of gateways that all see it
empty, and crash if they get more than a few requests a second; and a plain
server hangs, so that calls pile up on connections of which it takes so many
from all gateways, and resets the rest with the orders on them.
"""

from __future__ import annotations

import asyncio
import collections
import random
import types
import unittest

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import source
from quetzalsill_gateway.fleet import members, quota, upstream

SEED = 3
NONE_OPEN = quota.Connections(0, 0)
# As the platforms served so far have it: one and a half times the rate, and
# five requests.
WARMUP = quota.Warmup(1.5, 5.0)
# A gateway tells the others of itself at least so often.
TOLD_S = 1.0


def bound(per_s):
    """Returns the requests that a cold upstream stands in one second."""
    return per_s * WARMUP.overage + WARMUP.allowance


def table(per_s=0.0, max_connections=0):
    """Returns what stands for a configuration with one service."""
    service = types.SimpleNamespace(
        warmup_per_s=per_s, max_connections=max_connections
    )
    return types.SimpleNamespace(services={'s': service})


def holder(**figures):
    found = source.RoutingTableHolder()
    found.current = table(**figures)
    return found


class Fleet:
    """Gateways that all want to send to one cold upstream all the time."""

    def __init__(self, gateways, per_s):
        self.rng = random.Random(SEED)
        self.holder = holder(per_s=per_s)
        self.names = [f'entry-{n}' for n in range(gateways)]
        self.is_cut = lambda one, other: False
        self.paused = set()
        self.sent_s = []
        self.by = collections.Counter()
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
        """Starts a gateway, which knows nobody yet."""
        self.members[name] = members.Members(name)
        loop = asyncio.get_running_loop()
        for work in (self.tell(name), self.send(name)):
            self.tasks.append(loop.create_task(work))

    async def tell(self, name):
        loop = asyncio.get_running_loop()
        while name in self.members:
            await asyncio.sleep(TOLD_S * self.rng.uniform(0.5, 1.0))
            if name in self.paused:
                continue
            for other, found in self.members.items():
                if other != name and not self.is_cut(name, other):
                    found.mark_seen((name,), loop.time())

    async def send(self, name):
        """Sends whenever it may, which is more than callers ever ask."""
        found = quota.Quota(
            self.holder, self.members[name], WARMUP, lambda _: NONE_OPEN
        )
        loop = asyncio.get_running_loop()
        while name in self.members:
            await asyncio.sleep(self.rng.uniform(0.001, 0.02))
            if name not in self.paused and found.allows(self.target):
                found.consume(self.target)
                self.sent_s.append(loop.time())
                self.by[name] += 1

    def stop(self):
        for task in self.tasks:
            task.cancel()

    def most_in_a_second(self):
        """Returns the most requests in any second, wherever it begins."""
        most, first = 0, 0
        for last, sent_s in enumerate(self.sent_s):
            while sent_s - self.sent_s[first] >= 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most


class ColdTest(unittest.TestCase):
    """The rate of one cold upstream over a fleet, in each sliding second."""

    def play(self, story, gateways, per_s):
        async def work():
            self.fleet = Fleet(gateways, per_s)
            await self.fleet.start()
            try:
                await story()
            finally:
                self.fleet.stop()

        clock.run(work)
        self.assertLessEqual(self.fleet.most_in_a_second(), bound(per_s))

    def test_it_is_used_and_not_exceeded(self):
        for gateways in (1, 2, 24, 68):
            for per_s in (2.0, 35.0):
                with self.subTest((gateways, per_s)):

                    async def story():
                        await asyncio.sleep(10.0)

                    self.play(story, gateways, per_s)
                    self.assertGreater(len(self.fleet.sent_s) / 10.0, per_s / 2)

    def test_gateways_are_lost_cut_paused_and_new(self):
        """Half hear nothing of the others, some are gone, some are new.

        Each half would take the whole rate for its own, and so would a
        gateway that has just started and knows nobody.
        """

        async def story():
            fleet = self.fleet
            await asyncio.sleep(3.0)
            half = set(fleet.names[::2])
            fleet.is_cut = lambda one, other: (one in half) != (other in half)
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
            fleet.is_cut = lambda one, other: False
            await asyncio.sleep(6.0)

        for gateways in (24, 68):
            for per_s in (2.0, 35.0):
                with self.subTest((gateways, per_s)):
                    self.play(story, gateways, per_s)

    def test_who_knows_nobody_sends_nothing(self):
        """It has started in an outage: it hears some, and may be cut off."""

        async def story():
            self.fleet.add('fresh')
            await asyncio.sleep(5.0)
            self.assertEqual(self.fleet.by['fresh'], 0)

        self.play(story, 2, 35.0)

    def test_it_is_shared_by_many(self):
        """One that alone may send would serve its own callers only."""

        async def story():
            await asyncio.sleep(10.0)
            self.assertGreaterEqual(len(self.fleet.by), 24 / 3)

        self.play(story, 24, 35.0)

    def test_one_that_is_warm_gets_what_there_is(self):
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
    """Shares of the connections that an upstream takes."""

    def quota(self, gateways, most, found=NONE_OPEN):
        known = members.Members('entry-0')
        now = asyncio.get_running_loop().time()
        known.add_listed([f'entry-{n}' for n in range(gateways)], now)
        return quota.Quota(
            holder(max_connections=most), known, WARMUP, lambda _: found
        )

    async def test_all_together_stay_within_it(self):
        target = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z')
        for gateways in (1, 2, 24, 68):
            for most in (470, 200, 100, 66):
                with self.subTest((gateways, most)):
                    share = self.quota(gateways, most).max_connections(target)
                    self.assertGreaterEqual(share, 1)
                    if gateways <= most:
                        self.assertLessEqual(share * gateways, most)

    async def test_what_hosts_without_power_leave_behind_has_room(self):
        """An upstream holds what dead gateways had idle, and they come back."""
        target = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z')
        for gateways in (1, 4, 24, 40):
            shares = self.quota(gateways, 200)
            used = shares.max_connections(target)
            idle = shares.max_idle(target)
            self.assertLessEqual(gateways * (used + idle), 200)

    async def test_one_that_hangs_gets_nothing_more(self):
        """Calls hang on all connections that this gateway may have.

        Each further one would be reset, with an order on it whose caller may
        not ask again.
        """
        target = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z')
        busy = quota.Connections(7, 0)
        self.assertFalse(self.quota(24, 200, busy).allows(target))
        resting = quota.Connections(7, 1)
        self.assertTrue(self.quota(24, 200, resting).allows(target))

    async def test_no_bound_where_none_is_told(self):
        target = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z')
        self.assertIsNone(self.quota(24, 0).max_connections(target))
        other = upstream.Upstream('u', 'unlisted', ('10.0.0.1', 1), 'z')
        self.assertTrue(self.quota(24, 200).allows(other))


class MembersTest(unittest.TestCase):
    """Whose share is kept."""

    def test_a_silent_one_keeps_its_share_for_a_while(self):
        found = members.Members('b')
        found.mark_seen(['a', 'c'], 10.0)
        found.mark_seen(['a'], 40.0)
        self.assertEqual(found.names(69.0), ('a', 'b', 'c'))
        self.assertEqual(found.names(71.0), ('a', 'b'))
        self.assertEqual(found.names(200.0), ('b',))

    def test_names_stay_bounded(self):
        found = members.Members('b')
        found.mark_seen((str(n) for n in range(10_000)), 1.0)
        self.assertEqual(len(found.names(2.0)), members.MAX_MEMBERS + 1)


if __name__ == '__main__':
    unittest.main()
