"""Servers that say in their responses that they leave."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from tests.quetzalsill_platform import fixture, test_streams

LEAVING = '1'
CALLS = 60
CONCURRENT = 5
RUN_LENGTH = 100


class LeavingHeaderTestCase(fixture.GatewayTestCase):
    """Three gateways; the store lists all servers as ready throughout."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.gateways = await self.start_peers(3)

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

    async def test_failures_give_notice_too(self):
        """Only its failures and rejections say so while a server fails."""
        for script in ('fail', 'shed', 'false_503'):
            with self.subTest(script=script):
                server = await self.relay_leaving(self.gateways[0], script)
                arrived = len(server.arrivals)
                await self.calls(self.gateways[0], CONCURRENT)
                self.assertEqual(len(server.arrivals), arrived)
                await self.replace(server)

    async def replace(self, server):
        """Starts a server anew under another id."""
        server.leaving, server.scripts = '', []
        self.store.remove('servers', server.id)
        server.id += '-new'
        self.store.put('servers', server.id, server.entry('desk', 'zone-a'))
        for gateway in self.gateways:
            await self.wait_until(
                lambda g=gateway: g.core.upstreams.get(server.id)
            )

    async def test_a_new_incarnation_gets_calls(self):
        """The notice of a process holds for its successor at the address."""
        server = await self.relay_leaving(self.gateways[0])
        await self.replace(server)
        arrived = len(server.arrivals)
        await self.calls(self.gateways[0])
        self.assertGreater(len(server.arrivals), arrived)

    async def test_a_misdirected_response_gives_no_notice(self):
        """Another process at the address leaves, not the one that was meant."""
        for server in self.http_servers:
            server.leaving, server.scripts = LEAVING, ['moved']
        await self.call(self.gateways[0])
        self.assertFalse(any(one.scripts for one in self.http_servers))
        for server in self.http_servers:
            server.leaving = ''
        self.assertEqual(self.leaving(self.gateways[0]), set())

    async def test_invalid_values_give_no_notice(self):
        for value in ('0', 'soon', '11', '-1', '1;q=1'):
            for server in self.http_servers:
                server.leaving = value
            self.assertEqual(await self.calls(self.gateways[0], 10), {200})
        self.assertEqual(self.leaving(self.gateways[0]), set())

    async def test_others_know_it_without_a_response(self):
        server = await self.relay_leaving(self.gateways[0])
        for gateway in self.gateways:
            await self.wait_until(
                lambda g=gateway: self.leaving(g) == {server.id}
            )

    def leaving(self, gateway):
        upstreams = gateway.core.upstreams.all()
        return {one.id for one in upstreams if one.leaving}

    async def test_it_outlasts_an_entry_that_says_ready(self):
        """Its row is written again, lapses and is back, without any peers."""
        gateway = self.process
        server = await self.relay_leaving(gateway)
        entry = server.entry('desk', 'zone-a')
        self.store.put('servers', server.id, entry | {'sequence': 1})
        self.store.remove('servers', server.id)
        await self.wait_until(
            lambda: gateway.core.upstreams.get(server.id) is None
        )
        self.store.put('servers', server.id, entry)
        await self.wait_until(lambda: gateway.core.upstreams.get(server.id))
        self.store.compact()
        arrived = len(server.arrivals)
        self.assertEqual(await self.calls(gateway), {200})
        self.assertEqual(len(server.arrivals), arrived)

    async def test_a_gateway_that_starts_in_an_outage_knows_it(self):
        """The snapshot that it gets from its peers says ready."""
        server = await self.relay_leaving(self.gateways[0])
        self.store.down = 'reset'
        await self.gateways[1].close()
        started = await self.start_gateway(
            name='node-1', peers=fixture.ANYWHERE, wait=False
        )
        for port in (self.gateways[0].peers.port, self.gateways[2].peers.port):
            # The directory is in the store, which is down.
            started.peers._send_full_state(('127.0.0.1', port))
        await self.wait_until(
            lambda: started.is_ready() and started.core.upstreams.get(server.id)
        )
        arrived = len(server.arrivals)
        await self.wait_until(lambda: self.leaving(started) == {server.id})
        self.assertEqual(await self.calls(started), {200})
        self.assertEqual(len(server.arrivals), arrived)

    async def test_calls_are_refused_at_once_when_all_servers_leave(self):
        gateway = self.gateways[0]
        for server in self.http_servers:
            server.leaving = LEAVING
        while len(self.leaving(gateway)) < len(self.http_servers):
            await self.call(gateway)
        arrived = sum(len(one.arrivals) for one in self.http_servers)
        self.assertEqual(await self.calls(gateway), {503})
        self.assertEqual(
            sum(len(one.arrivals) for one in self.http_servers), arrived
        )

    async def test_a_call_that_waits_for_a_connection_goes_elsewhere(self):
        """The notice arrives after the choice, while the call connects."""
        core = self.gateways[0].core
        acquire, noticed = core.conns.acquire, []

        async def acquire_late(address, **options):
            conn = await acquire(address, **options)
            if not noticed:
                [found] = [
                    one
                    for one in core.upstreams.all()
                    if one.address == address
                ]
                noticed.append(found)
                core.upstreams.mark_leaving(found, 'response')
            return conn

        with mock.patch.object(core.conns, 'acquire', acquire_late):
            response = await self.call(self.gateways[0], '/unsafe/1')
        self.assertEqual(response.status, 200)
        self.assertNotIn(noticed[0].id.encode(), response.body)


class LeavingEngineTest(test_streams.StreamTestCase):
    """An engine has a run when it says in another response that it leaves."""

    async def test_its_runs_are_moved_away(self):
        """The run would be lost with the engine that nobody saw leaving."""
        for engine in self.engines:
            engine.length = RUN_LENGTH
        task = asyncio.create_task(self.stream(request_id='s1'))
        source = await self.wait_until_working()
        source.leaving_header = LEAVING
        others = [
            asyncio.create_task(self.stream('/verdict/'))
            for _ in range(4 * len(self.engines))
        ]
        upstreams = self.process.core.upstreams
        await self.wait_until(lambda: upstreams.get(source.id).leaving)
        response = await task
        await asyncio.gather(*others)
        self.assert_complete(response, 's1', RUN_LENGTH)
        moved_to = [
            engine.id
            for engine in self.engines
            for headers in engine.requests
            if 'kv-from' in headers
        ]
        self.assertTrue(moved_to)
        self.assertNotIn(source.id, moved_to)


if __name__ == '__main__':
    unittest.main()
