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
FINAL_COPY_TIMEOUT_S = 0.5
FINAL_COPY_S = 0.2
PAUSE_S = 0.6
# A short run ends long before such an order to stop it arrives, and the
# patience for a last copy ends in between.
SHORT_LENGTH = 10
STOP_DELAY_S = 1.0
# Sooner than the last copy, and than the patience for it.
CRASH_DELAY_S = 0.05


class _Engine(engine.Engine):
    """An engine that acts around orders to stop a run.

    Attributes:
      stop_delay_s: Time that such an order is under way.
      pause_s: The process is paused so long behind the answer to one.
      crash_delay_s: It is gone so long after one, unanswered; 0 if it stays.
    """

    stop_delay_s = 0.0
    pause_s = 0.0
    crash_delay_s = 0.0

    async def _move(self, call):
        is_last = json.loads(call.body).get('last')
        if is_last:
            await asyncio.sleep(self.stop_delay_s)
        if is_last and self.crash_delay_s:
            self.last_copy_s = 10 * self.crash_delay_s
            call_later = asyncio.get_running_loop().call_later
            call_later(
                self.crash_delay_s, lambda: asyncio.ensure_future(self.crash())
            )
        await super()._move(call)
        if is_last:
            time.sleep(self.pause_s)


class MoveTest(test_streams.StreamTestCase):
    """One run of an engine that leaves."""

    async def asyncSetUp(self):
        with mock.patch.object(engine, 'Engine', _Engine):
            await super().asyncSetUp()
        patcher = mock.patch.object(
            continuation, 'FINAL_COPY_TIMEOUT_S', FINAL_COPY_TIMEOUT_S
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    async def drain_engine_with_run(self, request_id, length):
        """Asks for a plan whose engine then leaves; gives engine and answer."""
        for replica in self.engines:
            replica.length = length
        pending = asyncio.create_task(self.stream(request_id=request_id))
        source = await self.wait_until_working()
        source.leaving, source.leaves_ms = True, 1900
        self.register(source)
        return source, pending

    async def test_a_last_copy_that_comes_as_the_patience_ends(self):
        """A plan is cut off although its memory is at another engine.

        Its engine leaves, and the run is stopped. The gateway is paused for a
        moment, and wakes to the engine's answer and to the end of its patience
        in one turn of its loop: the wait is given up, the answer is there. It
        was taken for an order that had failed.
        """
        for replica in self.engines:
            replica.last_copy_s, replica.pause_s = FINAL_COPY_S, PAUSE_S
        source, pending = await self.drain_engine_with_run('p1', LENGTH)
        self.assert_complete(await pending, 'p1', LENGTH)
        self.assertEqual(self.fleet.started['p1'], [source.id])
        self.assertEqual(self.fleet.doubled, set())

    async def test_a_run_that_ends_before_the_order_to_stop_it(self):
        """A plan comes to its last event, and its answer is cut off.

        Its engine leaves; the run was copied once, and ends while the order
        to stop it is on a slow way. It is taken for a stopped one all the
        same: sent on to the destination, which has dropped the copy by then.
        """
        for replica in self.engines:
            replica.stop_delay_s = STOP_DELAY_S
        source, pending = await self.drain_engine_with_run('p2', SHORT_LENGTH)
        for replica in self.engines:
            if replica is not source:
                replica.refuse = 503
        self.assert_complete(await pending, 'p2', SHORT_LENGTH)
        requests = [
            sent for replica in self.engines for sent in replica.requests
        ]
        self.assertEqual(len(requests), 1)

    async def test_an_engine_that_goes_during_the_last_copy(self):
        """A plan is cut off although a copy of it is at another engine.

        Its engine leaves and stops the run, and is gone before the last copy
        is through. Had it gone a little later, the run would have been gone
        on with from the first copy.
        """
        for replica in self.engines:
            replica.crash_delay_s = CRASH_DELAY_S
        source, pending = await self.drain_engine_with_run('p3', LENGTH)
        self.assert_complete(await pending, 'p3', LENGTH)
        self.assertEqual(self.fleet.started['p3'], [source.id])
        self.assertEqual(self.fleet.doubled, set())


if __name__ == '__main__':
    unittest.main()
