"""Way of a Dispatch to the engine and of its answer back."""

from __future__ import annotations

import unittest

from quetzalsill.wire import message
from tests.quetzalsill_sidecar import support


class DispatchTest(unittest.IsolatedAsyncioTestCase):
    """The way without failures."""

    async def test_answer_streams_whole_and_in_order(self):
        async with (
            support.engine(costs=support.costs(0.001)) as (engine, url),
            support.sidecar(url) as sidecar,
            support.router(sidecar.port) as router,
        ):
            attempt = router.dispatch(tokens=40)
            messages = await router.receive_all(attempt)
        self.assertIsInstance(messages[0], message.Started)
        self.assertEqual(support.indexes(messages), list(range(40)))
        self.assertEqual(len(support.generations(messages)), 1)
        self.assertEqual(messages[-1], message.Finished(attempt, 40))
        runs = [run['request_id'] for run in engine.audit()['runs']]
        self.assertEqual(runs, [attempt])


if __name__ == '__main__':
    unittest.main()
