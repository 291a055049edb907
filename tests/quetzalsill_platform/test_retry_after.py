"""Servers that reject requests and ask for a pause."""

from __future__ import annotations

import asyncio
import unittest

from tests.quetzalsill_platform import fixture, test_streams

# Far longer than a test.
LONG_S = '60'
CALLS = 60
CONCURRENT = 5
# Much longer than it takes to reject a request.
WORK_S = 0.03


class RetryAfterTestCase(fixture.GatewayTestCase):
    """One gateway, two plain servers and three engines."""

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
        for one in self.http_servers:
            one.work_s = WORK_S
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


if __name__ == '__main__':
    unittest.main()
