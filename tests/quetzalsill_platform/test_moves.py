"""Moves whose orders, answers and ends of streams come in a bad order."""

from __future__ import annotations

import asyncio
import json
import time
import unittest
from unittest import mock

from quetzalsill_dev.users_platform import engine
from quetzalsill_gateway.stream import continuation
from tests.quetzalsill_platform import test_streams

LENGTH = 60
# Patience for a last copy, the copy's time and the pause behind it: far enough
# apart that their order is sure on a busy machine too.
PATIENCE_S = 0.5
LAST_COPY_S = 0.2
PAUSE_S = 0.6


class _Engine(engine.Engine):
    """An engine that pauses the process once it has stopped a run.

    Attributes:
      pause_s: For how long, right behind its answer to the order.
    """

    pause_s = 0.0

    async def _move(self, call):
        await super()._move(call)
        if json.loads(call.body).get('last'):
            time.sleep(self.pause_s)


class MoveTest(test_streams.StreamFixture):
    """One run of an engine that leaves."""

    async def asyncSetUp(self):
        with mock.patch.object(engine, 'Engine', _Engine):
            await super().asyncSetUp()
        patience = mock.patch.object(continuation, 'LAST_COPY_S', PATIENCE_S)
        patience.start()
        self.addCleanup(patience.stop)

    async def leave_with_a_run(self, request_id, length):
        """Asks for a plan whose engine then leaves; gives engine and answer."""
        for writer in self.engines:
            writer.length = length
        asked = asyncio.create_task(self.stream(request_id=request_id))
        source = await self.until_working()
        source.leaving, source.leaves_ms = True, 1900
        self.enter(source)
        return source, asked

    async def test_a_last_copy_that_comes_as_the_patience_ends(self):
        """A plan is cut off although its memory is at another engine.

        Its engine leaves, and the run is stopped. The gateway is paused for a
        moment, and wakes to the engine's answer and to the end of its patience
        in one turn of its loop: the wait is given up, the answer is there. It
        was taken for an order that had failed.
        """
        for writer in self.engines:
            writer.last_copy_s, writer.pause_s = LAST_COPY_S, PAUSE_S
        source, asked = await self.leave_with_a_run('p1', LENGTH)
        self.assert_whole(await asked, 'p1', LENGTH)
        self.assertEqual(self.fleet.started['p1'], [source.id])
        self.assertEqual(self.fleet.doubled, set())


if __name__ == '__main__':
    unittest.main()
