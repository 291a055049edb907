"""Servers that limit what all gateways together may send them."""

from __future__ import annotations

import asyncio
import unittest

from tests.quetzalsill_platform import fixture

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
        self.gateways = [
            await self.start_gateway(name=f'node-{n}', peers=fixture.ANYWHERE)
            for n in range(3)
        ]
        for gateway in self.gateways:
            await self.wait_until(lambda g=gateway: g.peers.peer_count >= 2)

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
            since_s = server.arrivals_s[0] + STABLE_WINDOW_S
            later = [at_s for at_s in server.arrivals_s if at_s > since_s]
            self.assertLessEqual(max_in_window(later), ALLOWED)

    async def test_all_gateways_together_keep_to_it(self):
        self.name_limits()
        await self.load(8.0)
        self.assert_kept()


if __name__ == '__main__':
    unittest.main()
