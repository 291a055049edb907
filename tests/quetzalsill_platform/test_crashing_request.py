"""Requests that crash the engines that run them, at several gateways."""

from __future__ import annotations

import asyncio
import itertools
import json
import unittest

from quetzalsill_dev.users_platform import caller, engine, http_server
from tests.quetzalsill_platform import fixture

CRASHING = b'a prompt that crashes engines'
RESTART_S = 0.3
PAUSE_S = 0.1
# Repeats that may go on reaching engines once it is known what they do.
MAX_REPEATS = 3
REFUSAL = (503, b'quarantined\n')


class CrashingRequestTestCase(fixture.GatewayTestCase):
    """Three gateways; an engine that crashed is back under a new id.

    Attributes:
      restart_s: Time from its crash until it is back, in seconds.
    """

    restart_s = RESTART_S

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.numbers = itertools.count(100)
        self.fleet.crash_body = CRASHING
        self.gateways = [
            await self.start_gateway(name=f'node-{n}', peers=fixture.ANYWHERE)
            for n in range(3)
        ]
        for gateway in self.gateways:
            await self.wait_until(lambda g=gateway: g.peers.peer_count >= 2)
        restarts = asyncio.create_task(self.restart_crashed())
        self.addCleanup(restarts.cancel)

    async def restart_crashed(self):
        """Replaces each engine that has crashed, at the same address."""
        for count in itertools.count():
            while len(self.fleet.crashed) <= count:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            asyncio.create_task(self.replace(self.fleet.crashed[count]))

    async def replace(self, engine_id):
        old = next(one for one in self.engines if one.id == engine_id)
        self.engines.remove(old)
        address = next(a for a, one in self.fleet.engines.items() if one is old)
        port = int(address.rpartition(':')[2])
        await asyncio.sleep(self.restart_s)
        new = engine.Engine(self.fleet, f'engine-{next(self.numbers)}')
        new.length, new.event_s = old.length, old.event_s
        await self.add(new, port)
        self.store.remove('servers', old.id)

    async def add_engine(self):
        """Starts one more engine."""
        await self.add(
            engine.Engine(self.fleet, f'engine-{next(self.numbers)}')
        )

    async def add(self, new, port=0):
        """Starts an engine and writes its row."""
        await new.start(port)
        self.addAsyncCleanup(new.server.stop)
        self.engines.append(new)
        self.register(new)

    async def send(self, number, body=CRASHING, path='/verdict/1', key='key-1'):
        """Sends a request to one of the gateways in turn."""
        client = self.caller(self.gateways[number % len(self.gateways)])
        async with asyncio.timeout(fixture.WAIT_TIMEOUT_S):
            return await client.request(path, method='POST', body=body, key=key)

    def sends(self):
        """Returns how often the crashing request has reached engines."""
        return sum(one.body == CRASHING for one in self.fleet.arrivals)

    async def repeat(self, count):
        """Repeats the crashing request; returns how often it reached engines.

        Returns:
          How often, in the first and in the second half of the repeats.
        """
        half = 0
        for number in range(count):
            if number == count // 2:
                half = self.sends()
            await self.send(number)
            await asyncio.sleep(PAUSE_S)
        return half, self.sends() - half


class CrashingCallTest(CrashingRequestTestCase):
    """A call that crashes plain servers, of which new ones start."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.calls = 0

    async def replace_servers(self):
        """Replaces the servers that have crashed by new ones elsewhere."""
        for server in list(self.http_servers):
            if server._crash is None:
                continue
            self.http_servers.remove(server)
            self.calls += len(server.runs)
            self.store.remove('servers', server.id)
            new = http_server.HttpServer(f'desk-{next(self.numbers)}')
            new.crash_target = server.crash_target
            await new.start()
            self.addAsyncCleanup(new.server.stop)
            self.http_servers.append(new)
            self.store.put('servers', new.id, new.entry('desk', 'zone-a'))
            for gateway in self.gateways:
                await self.wait_until(
                    lambda g=gateway, s=new: g.core.upstreams.get(s.id)
                )

    async def call(self, number, target='/safe/crashing'):
        client = self.caller(self.gateways[number % len(self.gateways)])
        async with asyncio.timeout(fixture.WAIT_TIMEOUT_S):
            return await client.request(target)

    async def test_calls_stop_reaching_servers(self):
        """A call without a body crashes one server after the other."""
        for server in self.http_servers:
            server.crash_target = '/safe/crashing'
        for number in range(12):
            await self.call(number)
            await self.replace_servers()
            await asyncio.sleep(PAUSE_S)
        before = self.calls
        for number in range(12):
            response = await self.call(number)
            self.assertEqual((response.status, response.body), REFUSAL)
            await self.replace_servers()
        self.assertEqual(self.calls, before)
        response = await self.call(0, '/safe/sound')
        self.assertEqual(response.status, 200)


class CrashingRequestTest(CrashingRequestTestCase):
    """One request that crashes engines, and the requests beside it."""

    async def test_repeats_stop_reaching_engines(self):
        """A request crashes engines, and its caller repeats it everywhere."""
        _, later = await self.repeat(30)
        self.assertLessEqual(later, MAX_REPEATS)

    async def test_the_requests_beside_it_are_served(self):
        """Neighbours of the same route and account meet its crashes."""
        await self.repeat(16)
        for number in range(9):
            body = f'another prompt {number}'.encode()
            response = await self.send(number, body)
            self.assertEqual((response.status, response.complete), (200, True))

    async def test_a_crash_ends_the_runs_of_one_account_only(self):
        """Another account sends the same prompt to the same path."""
        await self.repeat(12)
        self.fleet.crash_body = None
        response = await self.send(0, key='key-3')
        self.assertEqual(response.status, 200)
        response = await self.send(0)
        self.assertEqual((response.status, response.body), REFUSAL)

    async def test_a_gateway_that_starts_knows_it(self):
        """A gateway restarts, and a repeat is its first request."""
        await self.repeat(12)
        sent = self.sends()
        await self.gateways[0].close()
        self.gateways[0] = await self.start_gateway(
            name='node-0', peers=fixture.ANYWHERE, wait=False
        )
        response = await self.send(0)
        self.assertEqual((response.status, response.body), REFUSAL)
        self.assertEqual(self.sends(), sent)
        self.assertGreater(float(response.headers['retry-after']), 1.0)

    async def test_gateways_that_all_restart_know_it(self):
        """All gateways lose power at once, and a repeat comes again."""
        await self.repeat(12)
        await self.wait_until(lambda: self.store.rows('quarantine'))
        sent = self.sends()
        for gateway in self.gateways:
            await gateway.close()
        self.gateways = await asyncio.gather(
            *(
                self.start_gateway(
                    name=f'node-{n}', peers=fixture.ANYWHERE, wait=False
                )
                for n in range(3)
            )
        )
        for number in range(6):
            response = await self.send(number)
            self.assertEqual((response.status, response.body), REFUSAL)
        self.assertEqual(self.sends(), sent)

    async def test_a_gateway_cut_off_from_the_others_learns_it(self):
        """It reaches the store and the engines, but none of the others."""
        alone = self.gateways.pop()
        alone.peers.close()
        await self.repeat(12)
        await self.wait_until(lambda: self.store.rows('quarantine'))
        self.gateways = [alone]
        sent = self.sends()
        await self.send(0)
        await self.wait_until(lambda: alone.core.quarantine.entries)
        for number in range(4):
            response = await self.send(number)
            self.assertEqual((response.status, response.body), REFUSAL)
        self.assertLessEqual(self.sends() - sent, MAX_REPEATS)

    async def operate(self, method, path):
        """Sends an operator's request; returns status and body."""
        port = self.gateways[0].readiness.port
        client = caller.Caller('127.0.0.1', port)
        response = await client.request(path, method=method)
        client.disconnect()
        return response.status, json.loads(response.body)

    async def test_bad_operator_requests_name_field_and_remedy(self):
        for method, path, status, field in (
            ('DELETE', '/quarantine/xyz', 400, 'fingerprint'),
            ('DELETE', '/quarantine/00ff', 404, 'fingerprint'),
            ('PUT', '/quarantine', 405, 'method'),
        ):
            with self.subTest(path=path):
                got, body = await self.operate(method, path)
                self.assertEqual((got, body['field']), (status, field))
                self.assertTrue(body['advice'])

    async def test_an_operator_lifts_it(self):
        """The engines have been fixed before the quarantine ends."""
        await self.repeat(12)
        self.fleet.crash_body = None
        status, listed = await self.operate('GET', '/quarantine')
        [entry] = listed['requests']
        self.assertEqual(status, 200)
        self.assertEqual(entry['label'], 'verdict first /verdict/1')
        self.assertGreaterEqual(len(entry['upstreams']), 3)
        path = f'/quarantine/{entry["fingerprint"]}'
        self.assertEqual((await self.operate('DELETE', path))[0], 200)
        for gateway in self.gateways:
            await self.wait_until(
                lambda g=gateway: not g.core.quarantine.entries
            )
        response = await self.send(1)
        self.assertEqual((response.status, response.complete), (200, True))


if __name__ == '__main__':
    unittest.main()
