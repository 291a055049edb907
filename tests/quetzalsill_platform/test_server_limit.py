"""Servers that limit what all gateways together may send them."""

from __future__ import annotations

import asyncio
import unittest

from tests.quetzalsill_platform import fixture, test_streams

PER_S = 2.5
WINDOW_S = 4.0
# What a server may get within that time: one and a half times its limit, and
# five requests.
ALLOWED = 1.5 * PER_S * WINDOW_S + 5
# From the first response that names a limit until it must be kept.
STABLE_WINDOW_S = 3.0
CALL_INTERVAL_S = 0.02


def max_in_window(times_s):
    """Returns the maximum number of arrivals in any sliding window."""
    highest, first = 0, 0
    for last, at_s in enumerate(times_s):
        while at_s - times_s[first] >= WINDOW_S:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


class ServerLimitTest(fixture.GatewayTestCase):
    """Three gateways with 50 calls a second to two plain servers."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.gateways = await self.start_peers(3)

    async def call(self, number):
        client = self.caller(self.gateways[number % len(self.gateways)])
        return await client.request('/safe/1')

    async def load(self, duration_s):
        """Sends calls at a fixed rate; returns their responses."""
        calls = []
        for number in range(int(duration_s / CALL_INTERVAL_S)):
            calls.append(asyncio.create_task(self.call(number)))
            await asyncio.sleep(CALL_INTERVAL_S)
        return await asyncio.gather(*calls)

    def name_limits(self):
        for server in self.http_servers:
            server.limit = str(PER_S)

    def assert_kept(self):
        """Checks the arrivals since `STABLE_WINDOW_S` after the first."""
        for server in self.http_servers:
            times_s = [at_s for at_s, _ in server.arrivals]
            since_s = times_s[0] + STABLE_WINDOW_S
            later = [at_s for at_s in times_s if at_s > since_s]
            self.assertLessEqual(max_in_window(later), ALLOWED)

    async def test_all_gateways_together_keep_to_it(self):
        self.name_limits()
        await self.load(8.0)
        self.assert_kept()

    async def test_generations_keep_to_it_and_are_refused_in_time(self):
        """One that waits is refused once others go first for too long."""
        for replica in self.engines:
            replica.limit, replica.length = '1', 2
        calls = []
        for number in range(250):
            calls.append(asyncio.create_task(self.generate(number)))
            await asyncio.sleep(CALL_INTERVAL_S)
        responses = await asyncio.gather(*calls)
        self.assertEqual({one.status for one in responses}, {200, 503})
        first_s = self.fleet.arrivals[0].at_s
        later = [
            one.at_s
            for one in self.fleet.arrivals
            if one.at_s > first_s + STABLE_WINDOW_S
        ]
        allowed = len(self.engines) * (1.5 * 1.0 * WINDOW_S + 5)
        self.assertLessEqual(max_in_window(later), allowed)

    async def generate(self, number):
        client = self.caller(self.gateways[number % len(self.gateways)])
        return await client.request(
            '/plan/1', method='POST', headers=test_streams.PROMPT
        )

    async def test_others_learn_it_without_a_response(self):
        """Only one gateway has had a response that names the limit."""
        self.name_limits()
        for server in self.http_servers:
            while self.limit(0, server) is None:
                await self.call(0)
            for number in (1, 2):
                await self.wait_until(
                    lambda n=number, s=server: self.limit(n, s) == PER_S
                )

    async def test_a_gateway_that_starts_learns_it(self):
        self.name_limits()
        await self.load(1.0)
        await self.gateways[0].close()
        self.gateways[0] = await self.start_gateway(
            name='node-0', peers=fixture.ANYWHERE
        )
        for server in self.http_servers:
            await self.wait_until(lambda s=server: self.limit(0, s) == PER_S)

    async def test_what_the_limits_leave_no_room_for_is_refused(self):
        """The refusal says when the rate has room again."""
        self.name_limits()
        responses = await self.load(3.0)
        refused = [one for one in responses if one.status == 503]
        self.assertGreater(len(refused), len(responses) / 2)
        for one in refused:
            self.assertGreaterEqual(float(one.headers['retry-after']), 0.1)
        self.assertEqual({one.status for one in responses}, {200, 503})

    async def test_an_unlimited_server_takes_the_rest(self):
        self.http_servers[0].limit = '0.5'
        responses = await self.load(3.0)
        self.assertEqual({one.status for one in responses}, {200})

    async def test_a_lifted_limit_is_no_longer_kept(self):
        self.name_limits()
        await self.load(1.0)
        for server in self.http_servers:
            server.limit = ''
        while any(
            self.limit(n, server) is not None
            for n in range(3)
            for server in self.http_servers
        ):
            await self.load(0.2)
        responses = await self.load(1.0)
        self.assertEqual({one.status for one in responses}, {200})

    def limit(self, number, server):
        """Returns the limit that a gateway knows of a server, None if none."""
        core = self.gateways[number].core
        found = core.server_limits.in_force(core.upstreams.get(server.id))
        return found and found.per_s


if __name__ == '__main__':
    unittest.main()
