"""Tests of a source whose feeds are behind its snapshots, in one epoch."""

from __future__ import annotations

import asyncio
import itertools
import random
import unittest
from unittest import mock

from quetzalsill_dev.simulation import clock, watchers
from quetzalsill_gateway import event, source
from quetzalsill_gateway.fleet import revision, upstream
from quetzalsill_gateway.watch import configuration, epoch, membership

FOR_S = 15.0
SEEDS = range(20)
# The same as for a source that is down: doubled from 0.2 s up to two seconds,
# and at least three quarters of that.
LEAST_PAUSES_S = (0.15, 0.3, 0.6, 1.2, 1.5)
# Calls, two at a time: at once, after each of the first pauses, and then at the
# longest pause.
FIRST_S = sum(LEAST_PAUSES_S[:-1])
MOST_CALLS = 2 * (len(LEAST_PAUSES_S) + (FOR_S - FIRST_S) / LEAST_PAUSES_S[-1])

# The virtual clock sums the times that the loop slept.
CLOCK_S = 1e-6


class LowerVersionsTest(unittest.TestCase):
    """One gateway polls a source that lists version 100 but feeds from 50.

    Lists and feeds come from two replicas of a store. Each feed is answered at
    once, the known revision is dropped for it, and all is listed again: without
    a pause there would be a call to the source at any time.
    """

    def setUp(self):
        patcher = mock.patch.object(event, 'note')
        patcher.start()
        self.addCleanup(patcher.stop)
        self.calls = 0
        self.ended_s = []
        self.listed_s = []

    async def poll(self, after, wait_s):
        self.calls += 1
        loop = asyncio.get_running_loop()
        if after is None:
            self.listed_s.append(loop.time())
        await asyncio.sleep(0.004)
        if after is not None:
            self.ended_s.append(loop.time())
        version = 100 if after is None else 50
        return source.PollResult(
            [], revision.Revision(1, version), after is None
        )

    def simulate(self, follower):
        for seed in SEEDS:
            with self.subTest(seed):
                self.calls = 0
                self.ended_s, self.listed_s = [], []
                self.simulate_once(follower, random.Random(seed))

    def simulate_once(self, follower, rng):
        async def work():
            task = asyncio.create_task(follower(rng).run())
            await asyncio.sleep(FOR_S)
            task.cancel()

        clock.run(work)
        self.assertLess(self.calls, MOST_CALLS)
        _, *listed_s = self.listed_s
        self.assertGreater(len(listed_s), len(LEAST_PAUSES_S))
        least = itertools.chain(
            LEAST_PAUSES_S, itertools.repeat(LEAST_PAUSES_S[-1])
        )
        for ended_s, at_s, least_s in zip(
            self.ended_s, listed_s, least, strict=False
        ):
            self.assertGreaterEqual(at_s - ended_s, least_s - CLOCK_S)

    def test_membership(self):
        self.simulate(
            lambda rng: membership.Membership(
                self.poll,
                upstream.Upstreams(),
                source.Health(),
                2.0,
                rng,
                epochs=epoch.EpochTracker(),
            )
        )

    def test_configuration(self):
        self.simulate(
            lambda rng: configuration.Configuration(
                self.poll,
                watchers._parse_document,
                source.RoutingTableHolder(),
                upstream.Upstreams().zones,
                source.Health(),
                lambda: 1,
                2.0,
                rng,
                epochs=epoch.EpochTracker(),
            )
        )


if __name__ == '__main__':
    unittest.main()
