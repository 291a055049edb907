"""The engines' stand-in: faults that tests of at-most-once rest on."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev.users_platform import caller, engine

TIMEOUT_S = 5.0
NOT_EXECUTED = 'x-quetzalsill-not-executed'


class EngineTest(unittest.IsolatedAsyncioTestCase):
    """One engine and its caller."""

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

    async def test_requests_are_reset_as_they_begin(self):
        self.engine.resets_at_start = 2
        for name in ('a', 'b'):
            self.assertEqual(await self.ask(name), caller.Response())
        self.assertEqual((await self.ask('c')).status, 200)
        self.assertEqual(set(self.fleet.started), {'a', 'b', 'c'})
        self.assertEqual(self.fleet.running_on['a'], set())

    async def test_a_copy_that_is_not_held_is_refused_as_not_run(self):
        copy = {'Kv-From': '127.0.0.1:1/h1', 'Last-Event-Id': '4'}
        answer = await self.ask('a', **copy)
        self.assertEqual(answer.status, 503)
        self.assertIn(NOT_EXECUTED, answer.headers)
        self.assertEqual(self.fleet.started, {})

    async def test_an_engine_that_ignores_copies_runs_from_the_beginning(self):
        self.engine.ignores_copies = True
        copy = {'Kv-From': '127.0.0.1:1/h1', 'Last-Event-Id': '4'}
        answer = await self.ask('a', **copy)
        self.assertTrue(answer.body.startswith(engine.event('a', 1)))
        self.assertEqual(self.fleet.started, {'a': ['engine-1']})


if __name__ == '__main__':
    unittest.main()
