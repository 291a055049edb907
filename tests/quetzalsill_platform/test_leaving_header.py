"""Servers that say in their responses that they leave."""

from __future__ import annotations

import asyncio
import unittest

from tests.quetzalsill_platform import fixture, test_streams

LEAVING = '1'
CALLS = 60
CONCURRENT = 5


class LeavingHeaderTestCase(fixture.GatewayTestCase):
    """Three gateways; the store lists all servers as ready throughout."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.gateways = [
            await self.start_gateway(name=f'node-{n}', peers=fixture.ANYWHERE)
            for n in range(3)
        ]
        for gateway in self.gateways:
            await self.wait_until(lambda g=gateway: g.peers.peer_count >= 2)

    async def call(self, gateway, target='/safe/1'):
        return await self.caller(gateway).request(target)

    async def calls(self, gateway, count=CALLS):
        """Returns the statuses of calls, a few at a time."""
        statuses = set()
        for _ in range(count // CONCURRENT):
            responses = await asyncio.gather(
                *(self.call(gateway) for _ in range(CONCURRENT))
            )
            statuses.update(one.status for one in responses)
        return statuses

    async def generate(self, gateway, **options):
        return await self.caller(gateway).request(
            '/plan/1', method='POST', headers=test_streams.PROMPT, **options
        )

    async def relay_leaving(self, gateway, script='ok'):
        """Returns a server whose response, which a gateway relayed, said so."""
        while True:
            name = (await self.call(gateway)).body.decode().partition(':')[0]
            server = next(one for one in self.http_servers if one.id == name)
            server.leaving, server.scripts = LEAVING, [script]
            before = len(server.arrivals)
            await self.call(gateway)
            if len(server.arrivals) > before:
                return server
            server.leaving, server.scripts = '', []


class LeavingHeaderTest(LeavingHeaderTestCase):
    """A server is leaving; only its responses say so."""

    async def test_no_calls_after_a_relayed_response(self):
        """A plain server goes on getting calls after it said that it leaves."""
        server = await self.relay_leaving(self.gateways[0])
        arrived = len(server.arrivals)
        self.assertEqual(await self.calls(self.gateways[0]), {200})
        self.assertEqual(len(server.arrivals), arrived)

    async def test_no_generations_after_a_relayed_response(self):
        """An engine goes on getting generations after it said so."""
        for engine in self.engines:
            engine.length = 2
        leaving = self.engines[0]
        leaving.leaving_header = LEAVING
        while not leaving.requests:
            await self.generate(self.gateways[0])
        arrived = len(leaving.requests)
        for _ in range(CALLS // CONCURRENT):
            await asyncio.gather(
                *(self.generate(self.gateways[0]) for _ in range(CONCURRENT))
            )
        self.assertEqual(len(leaving.requests), arrived)


if __name__ == '__main__':
    unittest.main()
