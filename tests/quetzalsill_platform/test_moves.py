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
# Patience for a last copy, the copy's time and the pause behind it: wide apart,
# so that their order is sure on a busy machine too.
PATIENCE_S = 0.5
LAST_COPY_S = 0.2
PAUSE_S = 0.6
# A short run ends long before such an order to stop it arrives, and the
# patience for a last copy ends in between.
SHORT = 10
ORDER_S = 1.0
# Sooner than the last copy, and than the patience for it.
GOES_S = 0.05


class _Engine(engine.Engine):
    """An engine that acts around orders to stop a run.

    Attributes:
      order_s: Time that such an order is under way.
      pause_s: The process is paused so long behind the answer to one.
      goes_s: It is gone so long after one, unanswered; 0 if it stays.
    """

    order_s = 0.0
    pause_s = 0.0
    goes_s = 0.0

    async def _move(self, call):
        is_last = json.loads(call.body).get('last')
        if is_last:
            await asyncio.sleep(self.order_s)
        if is_last and self.goes_s:
            self.last_copy_s = 10 * self.goes_s
            going = asyncio.get_running_loop().call_later
            going(self.goes_s, lambda: asyncio.ensure_future(self.crash()))
        await super()._move(call)
        if is_last:
            time.sleep(self.pause_s)


class MoveTest(test_streams.StreamFixture):
    """One run of an engine that leaves."""

    async def asyncSetUp(self):
        with mock.patch.object(engine, 'Engine', _Engine):
            await super().asyncSetUp()
        patience = mock.patch.object(
            continuation, 'FINAL_COPY_TIMEOUT_S', PATIENCE_S
        )
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

    async def test_a_run_that_ends_before_the_order_to_stop_it(self):
        """A plan comes to its last event, and its answer is cut off.

        Its engine leaves; the run was copied once, and ends while the order
        to stop it is on a slow way. It is taken for a stopped one all the
        same: sent on to the destination, which has dropped the copy by then.
        """
        for writer in self.engines:
            writer.order_s = ORDER_S
        source, asked = await self.leave_with_a_run('p2', SHORT)
        for writer in self.engines:
            if writer is not source:
                writer.refuse = 503
        self.assert_whole(await asked, 'p2', SHORT)
        requests = [sent for writer in self.engines for sent in writer.requests]
        self.assertEqual(len(requests), 1)

    async def test_an_engine_that_goes_during_the_last_copy(self):
        """A plan is cut off although a copy of it is at another engine.

        Its engine leaves and stops the run, and is gone before the last copy
        is through. Had it gone a little later, the run would have been gone
        on with from the first copy.
        """
        for writer in self.engines:
            writer.goes_s = GOES_S
        source, asked = await self.leave_with_a_run('p3', LENGTH)
        self.assert_whole(await asked, 'p3', LENGTH)
        self.assertEqual(self.fleet.started['p3'], [source.id])
        self.assertEqual(self.fleet.doubled, set())


if __name__ == '__main__':
    unittest.main()
