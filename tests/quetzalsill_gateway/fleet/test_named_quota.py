"""What all gateways together send to upstreams that name a limit."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway.fleet import members, quota, server_limits, upstream
from tests.quetzalsill_gateway.fleet import test_quota


class NamedFleet(test_quota.Fleet):
    """Gateways that always have requests for one upstream in need.

    Attributes:
      named: Value of the header in its responses; None for none.
    """

    RESPONSE_S = 0.02
    MAX_DELAY_S = 0.2

    def __init__(self, gateways, named):
        super().__init__(gateways, 0.0)
        self.named = named
        self.target.cold_until_s = 0.0
        self.limits = {}

    async def send(self, name):
        limits = self.limits[name] = server_limits.ServerLimits()
        limits.set_announcer(
            lambda update: self.tasks.append(
                asyncio.ensure_future(self.deliver(name, update))
            )
        )
        found = quota.Quota(
            self.holder,
            self.members[name],
            test_quota.WARMUP,
            lambda _: test_quota.NONE_OPEN,
            limits=limits,
            tolerance=test_quota.TOLERANCE,
        )
        loop = asyncio.get_running_loop()
        while name in self.members:
            await asyncio.sleep(self.rng.uniform(0.01, 0.2))
            if name not in self.paused and found.allows(self.target):
                found.consume(self.target)
                self.sent_s.append(loop.time())
                self.sent_by[name] += 1
                self.tasks.append(
                    asyncio.ensure_future(self.respond(name, loop.time()))
                )

    async def respond(self, name, sent_s):
        await asyncio.sleep(self.rng.uniform(0.5, 1.5) * self.RESPONSE_S)
        values = [] if self.named is None else [self.named]
        self.limits[name].record_response(
            self.target, values, sent_s, is_proved=True
        )

    async def deliver(self, sender, update):
        """Delivers an update to each gateway after a delay of its own."""
        for name in self.members:
            if name != sender and not self.is_partitioned(sender, name):
                self.tasks.append(
                    asyncio.ensure_future(self.receive(name, update))
                )

    async def receive(self, name, update):
        await asyncio.sleep(self.rng.uniform(0.0, self.MAX_DELAY_S))
        if name in self.limits and name not in self.paused:
            self.limits[name].receive(update)


class WaitTest(unittest.TestCase):
    """When a rate has room for a call, and for the calls before it."""

    def waits(self, *tokens, per_s=2.0, gateways=1):
        """Returns the waits of four calls for servers with these tokens."""

        async def work():
            known = members.Members('entry-0')
            now = asyncio.get_running_loop().time()
            known.add_listed([f'entry-{n}' for n in range(gateways)], now)
            limits = server_limits.ServerLimits()
            found = quota.Quota(
                test_quota.holder(),
                known,
                test_quota.WARMUP,
                lambda _: test_quota.NONE_OPEN,
                limits=limits,
            )
            servers = [
                upstream.Upstream(f'u{n}', 's', ('10.0.0.1', 1), 'z')
                for n in range(len(tokens))
            ]
            for server, count in zip(servers, tokens, strict=True):
                limits.record_response(
                    server, [str(per_s).encode()], now, is_proved=True
                )
                found.allows(server)
                bucket = found._buckets[server.key, 'named']
                bucket.tokens, bucket.rate_per_s = count, per_s
            return [found.wait_s(servers, ahead) for ahead in range(4)]

        return clock.run(work)

    def test_parts_of_tokens_at_two_servers_are_no_token(self):
        """A call was held for a rate that had no room in time."""
        self.assertEqual(self.waits(0.5, 0.5), [0.25, 0.25, 0.75, 0.75])

    def test_calls_ahead_take_what_there_is(self):
        self.assertEqual(self.waits(2.0), [0.0, 0.0, 0.5, 1.0])
        self.assertEqual(self.waits(1.0, 0.0), [0.0, 0.5, 0.5, 1.0])


class NamedTest(unittest.TestCase):
    """The rate at which a fleet sends to an upstream that names a limit."""

    SIZES = (1, 5, 68, 300)
    STABLE_S = 3.0

    def play(self, story, gateways, named):
        async def work():
            self.fleet = NamedFleet(gateways, named)
            await self.fleet.start()
            try:
                await asyncio.sleep(self.STABLE_S)
                self.fleet.sent_s.clear()
                await story()
            finally:
                self.fleet.stop()

        clock.run(work)

    def assert_kept(self, per_s):
        accepted = (
            test_quota.TOLERANCE.overage * per_s * test_quota.TOLERANCE.window_s
        )
        self.assertLessEqual(
            self.fleet.max_in_window(test_quota.TOLERANCE.window_s),
            accepted + test_quota.TOLERANCE.allowance,
        )

    def test_it_is_kept_and_used(self):
        """Also by gateways that had no response from the upstream since."""

        async def story():
            await asyncio.sleep(20.0)

        for gateways in self.SIZES:
            for per_s in (0.4, 2.5, 40.0):
                with self.subTest((gateways, per_s)):
                    self.play(story, gateways, str(per_s).encode())
                    self.assert_kept(per_s)
                    used = len(self.fleet.sent_s) / 20.0
                    self.assertGreater(used, 0.8 * min(per_s, 9 * gateways))

    def test_gateways_lost_partitioned_paused_and_new(self):
        """A partition halves the fleet, and gateways stop, pause and start."""

        async def story():
            fleet = self.fleet
            half = set(fleet.names[::2])
            fleet.is_partitioned = lambda one, other: (
                (one in half) != (other in half)
            )
            fleet.paused = set(fleet.names[:2])
            await asyncio.sleep(5.0)
            fleet.paused = set()
            for name in fleet.names[2:4]:
                del fleet.members[name]
            for number in range(2):
                fleet.add(f'fresh-{number}')
                found = fleet.members[f'fresh-{number}']
                found.add_listed(
                    fleet.members, asyncio.get_running_loop().time()
                )
                await asyncio.sleep(0)
                known = fleet.limits[fleet.names[-1]].updates()
                for update in known:
                    fleet.limits[f'fresh-{number}'].receive(update)
            await asyncio.sleep(6.0)
            fleet.is_partitioned = lambda one, other: False
            await asyncio.sleep(6.0)

        for gateways in (5, 68):
            for per_s in (2.5, 40.0):
                with self.subTest((gateways, per_s)):
                    self.play(story, gateways, str(per_s).encode())
                    self.assert_kept(per_s)

    def test_a_limit_that_is_lifted_is_noticed(self):
        async def story():
            await asyncio.sleep(2.0)
            self.fleet.named = None
            await asyncio.sleep(5.0)
            self.fleet.sent_s.clear()
            await asyncio.sleep(1.0)

        for gateways in (1, 5, 68):
            with self.subTest(gateways):
                self.play(story, gateways, b'2.5')
                self.assertGreater(len(self.fleet.sent_s), 5 * gateways)

    def test_a_limit_of_zero_is_probed(self):
        async def story():
            await asyncio.sleep(40.0)
            self.assertGreater(len(self.fleet.sent_s), 0)
            self.fleet.named = None
            await asyncio.sleep(30.0)
            self.fleet.sent_s.clear()
            await asyncio.sleep(1.0)

        for gateways in (1, 68):
            with self.subTest(gateways):
                self.play(story, gateways, b'0')
                self.assertGreater(len(self.fleet.sent_s), 5 * gateways)

    def test_owners_without_callers_give_way(self):
        """Those that may send to a limited upstream have no callers for it."""

        async def story():
            owners = quota.rate_owners(
                self.fleet.target.key, tuple(self.fleet.names), 5
            )
            self.fleet.paused = set(owners)
            self.fleet.named = None
            await asyncio.sleep(4 * quota.NAMED_TURN_S)
            self.fleet.sent_s.clear()
            await asyncio.sleep(1.0)
            self.assertGreater(len(self.fleet.sent_s), 68)

        self.play(story, 68, b'2.5')


if __name__ == '__main__':
    unittest.main()
