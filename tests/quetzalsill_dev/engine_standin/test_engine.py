"""Tests of the engine stand-in without its HTTP interface."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev.engine_standin import completion, engine, orders


def request(request_id, tokens, model='plan'):
    """Returns a request that generates the given number of tokens."""
    body = {
        'request_id': request_id,
        'model': model,
        'prompt': f'[[tokens={tokens}]]',
    }
    return completion.parse(body, chat=False)


async def read_all(generation, start=0):
    """Returns all data of a reader that starts at an event."""
    return b''.join([data async for data in generation.read(start)])


class EngineTest(unittest.IsolatedAsyncioTestCase):
    """An engine whose steps take no real time."""

    async def asyncSetUp(self):
        options = engine.EngineOptions(models=['plan'], checks_fence=True)
        self.now = 0.0
        self.engine = engine.Engine(options, lambda: self.now, self.pass_time)
        task = asyncio.create_task(self.engine.run())
        self.addCleanup(task.cancel)

    async def pass_time(self, seconds):
        self.now += max(seconds, 0.0)
        await asyncio.sleep(0)

    def runs(self):
        return self.engine.audit()['runs']

    async def test_same_id_never_runs_twice(self):
        first = self.engine.start(request('r1', 3))
        for _ in range(2):
            with self.assertRaises(engine.DuplicateRequestError):
                self.engine.start(request('r1', 3))
            await read_all(first)
        self.assertEqual(len(self.runs()), 1)

    async def test_id_cancelled_before_its_request_never_runs(self):
        self.assertEqual(self.engine.cancel('r1'), 'forbidden')
        with self.assertRaises(engine.ForbiddenRequestError):
            self.engine.start(request('r1', 3))
        self.assertEqual(self.runs(), [])

    async def test_resumed_stream_gives_the_same_events(self):
        generation = self.engine.start(request('r1', 5))
        data = await read_all(generation)
        self.assertTrue(data.endswith(await read_all(generation, 2)))
        self.assertEqual(self.engine.cancel('r1'), 'finished')
        self.assertEqual(self.runs()[0]['tokens'], 5)

    async def test_cancelled_generation_ends_its_readers(self):
        generation = self.engine.start(request('r1', 10_000))
        reader = asyncio.create_task(read_all(generation))
        await asyncio.sleep(0)
        self.assertEqual(self.engine.cancel('r1'), 'cancelled')
        await reader
        self.assertIsNotNone(self.runs()[0]['cancelled'])
        self.assertIsNone(self.runs()[0]['finished'])

    async def test_stalled_engine_generates_nothing_until_it_resumes(self):
        self.engine.set_switches({'stall': True})
        generation = self.engine.start(request('r1', 3))
        await asyncio.sleep(0)
        self.assertEqual(generation.events, [])
        self.engine.set_switches({'stall': False})
        await read_all(generation)
        self.assertEqual(len(generation.events), 3)

    async def test_load_report_lags(self):
        self.engine.set_switches({'lag_s': 5})
        self.engine.set_switches({'stall': True})
        self.now = 10.0
        self.engine.start(request('r1', 3))
        self.assertEqual(self.engine.load()['waiting'], 0)
        self.now = 15.0
        self.assertEqual(self.engine.load()['waiting'], 1)

    async def test_old_fence_is_refused_and_kept_in_history(self):
        await self.engine.orders.carry_out(orders.Order('load_model', 'a', 2))
        with self.assertRaises(orders.StaleFenceError):
            await self.engine.orders.carry_out(
                orders.Order('unload_model', 'a', 1)
            )
        self.assertEqual(self.engine.load()['models'], ['a', 'plan'])
        done = [entry['done'] for entry in self.engine.audit()['orders']]
        self.assertEqual(done, [True, False])


if __name__ == '__main__':
    unittest.main()
