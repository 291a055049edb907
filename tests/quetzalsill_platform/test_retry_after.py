"""Servers that reject requests and ask for a pause."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from tests.quetzalsill_platform import fixture, test_streams

# Far longer than a test.
LONG_S = '60'
CALLS = 60
CONCURRENT = 5
# Much longer than it takes to reject a request.
WORK_S = 0.03
RUN_LENGTH = 60


class RetryAfterTestCase(fixture.GatewayTestCase):
    """One gateway, two plain servers and three engines."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for server in self.http_servers:
            server.work_s = WORK_S

    async def calls(self, count=CALLS, target='/safe/1'):
        """Returns the responses to calls, a few at a time."""
        responses = []
        for _ in range(count // CONCURRENT):
            responses += await asyncio.gather(
                *(self.request(target) for _ in range(CONCURRENT))
            )
        return responses

    async def generate(self, count=CONCURRENT):
        """Returns the responses to generations that are sent together."""
        return await asyncio.gather(
            *(
                self.request(
                    '/plan/1', method='POST', headers=test_streams.PROMPT
                )
                for _ in range(count)
            )
        )

    def statuses(self, responses):
        return {one.status for one in responses}


class RetryAfterTest(RetryAfterTestCase):
    """A server rejects all requests and asks for a long pause."""

    async def test_no_calls_during_a_pause(self):
        """A server that asks for a pause gets calls all the while."""
        server = self.http_servers[0]
        server.retry_after = LONG_S
        while not server.arrivals:
            await self.request('/safe/1')
        arrived = len(server.arrivals)
        responses = await self.calls()
        self.assertEqual(len(server.arrivals), arrived)
        self.assertEqual(self.statuses(responses), {200})

    async def test_no_generations_during_a_pause(self):
        """An engine that asks for a pause gets generations all the while."""
        for engine in self.engines:
            engine.length = 2
        pausing = self.engines[0]
        pausing.retry_after = LONG_S
        while not pausing.requests:
            await self.generate(1)
        arrived = len(pausing.requests)
        responses = []
        for _ in range(CALLS // CONCURRENT):
            responses += await self.generate()
        self.assertEqual(len(pausing.requests), arrived)
        self.assertEqual(self.statuses(responses), {200})

    async def test_callers_are_told_the_earliest_end(self):
        """All servers ask for a pause: calls are refused at once, truly."""
        for server, pause in zip(
            self.http_servers, (LONG_S, '30'), strict=True
        ):
            server.retry_after = pause
        await self.calls(2 * CONCURRENT)
        arrived = sum(len(one.arrivals) for one in self.http_servers)
        for target in ('/safe/1', '/unsafe/1'):
            for refused in await self.calls(2 * CONCURRENT, target):
                self.assertEqual(refused.status, 503)
                pause_s = float(refused.headers['retry-after'])
                self.assertGreater(pause_s, 1.0)
                self.assertLessEqual(pause_s, 30.0)
        self.assertEqual(
            sum(len(one.arrivals) for one in self.http_servers), arrived
        )

    async def test_generations_are_told_the_earliest_end(self):
        for engine, pause in zip(
            self.engines, (LONG_S, '30', '45'), strict=True
        ):
            engine.retry_after = pause
        while not all(engine.requests for engine in self.engines):
            await self.generate()
        arrived = len(self.fleet.arrivals)
        for refused in await self.generate():
            self.assertEqual(refused.status, 503)
            self.assertLessEqual(float(refused.headers['retry-after']), 30.0)
            self.assertGreater(float(refused.headers['retry-after']), 1.0)
        self.assertEqual(len(self.fleet.arrivals), arrived)

    async def test_the_rejected_caller_is_told_it_too(self):
        """The one call that a server may get, which asked for the pause."""
        for server in self.http_servers:
            server.retry_after = LONG_S
        await self.calls(2 * CONCURRENT)
        refused = await self.request('/unsafe/1')
        self.assertGreater(float(refused.headers['retry-after']), 1.0)

    async def test_callers_come_again_at_once_while_others_serve(self):
        """The server's own time would keep them from servers that are free."""
        server = self.http_servers[0]
        server.retry_after = LONG_S
        refused = None
        while refused is None or refused.status != 503:
            server.arrivals.clear()
            refused = await self.request('/unsafe/1')
            self.assertTrue(refused.status == 503 or not server.arrivals)
        self.assertLess(float(refused.headers['retry-after']), 1.0)

    async def test_rejections_that_may_have_run_ask_for_it_too(self):
        """A 503 that doesn't say that the request was not executed."""
        server = self.http_servers[0]
        server.retry_after, server.scripts = LONG_S, ['false_503'] * CALLS
        while not server.arrivals:
            await self.request('/safe/1')
        await self.calls(4 * CONCURRENT)
        self.assertEqual(len(server.arrivals), 1)

    async def test_a_call_that_connects_meanwhile_goes_elsewhere(self):
        """The pause begins after the choice, while the call connects."""
        core = self.process.core
        acquire, pausing = core.conns.acquire, []

        async def acquire_late(address, **options):
            conn = await acquire(address, **options)
            if not pausing:
                [found] = [
                    one
                    for one in core.upstreams.all()
                    if one.address == address
                ]
                pausing.append(found)
                core.backoffs.record_response(found, 503, [b'60'], None, 0.0)
            return conn

        with mock.patch.object(core.conns, 'acquire', acquire_late):
            response = await self.request('/unsafe/1')
        self.assertEqual(response.status, 200)
        self.assertNotIn(pausing[0].id.encode(), response.body)

    async def test_other_gateways_go_on(self):
        """The server asked one gateway, not all of them."""
        other = await self.start_gateway(name='other')
        server = self.http_servers[0]
        server.retry_after = LONG_S
        while not server.arrivals:
            await self.request('/safe/1')
        server.retry_after = ''
        arrived = len(server.arrivals)
        while len(server.arrivals) == arrived:
            await self.caller(other).request('/safe/1')


class ReturnTest(RetryAfterTestCase):
    """A short pause has ended."""

    async def test_a_server_gets_calls_again(self):
        """It was slow before the pause, and nobody would try it again."""
        core = self.process.core
        server = self.http_servers[0]
        stats = core.stats_table.of(core.upstreams.get(server.id))
        server.retry_after = '0.2'
        while not server.arrivals:
            await self.request('/safe/1')
        stats.record_latency(10.0)
        server.retry_after = ''
        arrived = len(server.arrivals)
        async with asyncio.timeout(fixture.WAIT_TIMEOUT_S):
            while len(server.arrivals) < arrived + CONCURRENT:
                await self.request('/safe/1')


class ResumeTest(test_streams.StreamTestCase):
    """Engines with runs, of which some ask for a pause."""

    async def test_runs_are_not_moved_to_a_pausing_engine(self):
        """A moved run would reach an engine that wants nothing."""
        for engine in self.engines:
            engine.length = RUN_LENGTH
        task = asyncio.create_task(self.stream(request_id='s1'))
        source = await self.wait_until_working()
        core = self.process.core
        pausing = [one for one in self.engines if one is not source]
        for engine in pausing:
            found = core.upstreams.get(engine.id)
            core.backoffs.record_response(found, 503, [b'60'], None, 0.0)
        source.leaving = True
        self.register(source)
        self.assert_complete(await task, 's1', RUN_LENGTH)
        self.assertFalse(any(engine.requests for engine in pausing))


if __name__ == '__main__':
    unittest.main()
