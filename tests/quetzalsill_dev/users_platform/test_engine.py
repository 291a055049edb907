"""Tests of the stand-in engine: faults that at-most-once tests rely on."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev.users_platform import caller, engine

TIMEOUT_S = 5.0
NOT_EXECUTED = 'x-quetzalsill-not-executed'


class EngineTest(unittest.IsolatedAsyncioTestCase):
    """A single engine and its client."""

    async def asyncSetUp(self):
        self.fleet = engine.Fleet()
        self.engine = engine.Engine(self.fleet, 'engine-1')
        self.engine.event_s = 0.001
        await self.engine.start()
        self.addAsyncCleanup(self.engine.server.stop)

    async def ask(self, request_id, **headers):
        conn = caller.Caller(*self.engine.server.address)
        self.addCleanup(conn.disconnect)
        expected = {'X-Quetzalsill-Expect-Instance': self.engine.id}
        async with asyncio.timeout(TIMEOUT_S):
            return await conn.request(
                '/plan/x', request_id=request_id, headers=expected | headers
            )

    async def test_requests_are_reset_at_their_start(self):
        self.engine.resets_at_start = 2
        for name in ('a', 'b'):
            self.assertEqual(await self.ask(name), caller.Response())
        self.assertEqual((await self.ask('c')).status, 200)
        self.assertEqual(set(self.fleet.started), {'a', 'b', 'c'})
        self.assertEqual(self.fleet.running_on['a'], set())

    async def test_a_missing_copy_is_refused_as_not_executed(self):
        copy = {'Kv-From': '127.0.0.1:1/h1', 'Last-Event-Id': '4'}
        response = await self.ask('a', **copy)
        self.assertEqual(response.status, 503)
        self.assertIn(NOT_EXECUTED, response.headers)
        self.assertEqual(self.fleet.started, {})

    async def test_an_engine_that_ignores_copies_runs_from_the_beginning(self):
        self.engine.ignores_copies = True
        copy = {'Kv-From': '127.0.0.1:1/h1', 'Last-Event-Id': '4'}
        response = await self.ask('a', **copy)
        self.assertTrue(response.body.startswith(engine.event('a', 1)))
        self.assertEqual(self.fleet.started, {'a': ['engine-1']})


if __name__ == '__main__':
    unittest.main()
