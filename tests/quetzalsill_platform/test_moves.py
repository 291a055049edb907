"""Moves in which commands, responses and stream ends race."""

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
# Timeout of a final copy, its duration, and the pause after it: far enough
# apart to keep their order on a busy machine.
FINAL_COPY_TIMEOUT_S = 0.5
FINAL_COPY_S = 0.2
PAUSE_S = 0.6
# A short run ends long before the delayed stop command arrives, and the timeout
# of the final copy ends in between.
SHORT_LENGTH = 10
STOP_DELAY_S = 1.0
# Shorter than the final copy and its timeout.
CRASH_DELAY_S = 0.05


class _Engine(engine.Engine):
    """An engine that delays stop commands, pauses after them, or crashes.

    Attributes:
      stop_delay_s: Time until a stop command is processed.
      pause_s: Time for which the process pauses after its response to one.
      crash_delay_s: Time from a stop command to a crash, without a response; 0
        for no crash.
    """

    stop_delay_s = 0.0
    pause_s = 0.0
    crash_delay_s = 0.0

    async def _move(self, call):
        is_last = json.loads(call.body).get('last')
        if is_last:
            await asyncio.sleep(self.stop_delay_s)
        if is_last and self.crash_delay_s:
            self.final_copy_s = 10 * self.crash_delay_s
            call_later = asyncio.get_running_loop().call_later
            call_later(
                self.crash_delay_s, lambda: asyncio.ensure_future(self.crash())
            )
        await super()._move(call)
        if is_last:
            time.sleep(self.pause_s)


class MoveTest(test_streams.StreamTestCase):
    """A run whose engine is draining."""

    async def asyncSetUp(self):
        with mock.patch.object(engine, 'Engine', _Engine):
            await super().asyncSetUp()
        patcher = mock.patch.object(
            continuation, 'FINAL_COPY_TIMEOUT_S', FINAL_COPY_TIMEOUT_S
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    async def drain_engine_with_run(self, request_id, length):
        """Drains a stream's engine; returns the engine and pending response."""
        for replica in self.engines:
            replica.length = length
        pending = asyncio.create_task(self.stream(request_id=request_id))
        source = await self.wait_until_working()
        source.leaving, source.leaves_ms = True, 1900
        self.register(source)
        return source, pending

    async def test_a_final_copy_that_races_its_timeout(self):
        """The response to a stop command and its timeout are due at once.

        The gateway resumes from a pause and finds both in one loop iteration.
        If the command counted as failed although its response is there, the
        stream would be cut off although its KV cache is at another engine.
        """
        for replica in self.engines:
            replica.final_copy_s, replica.pause_s = FINAL_COPY_S, PAUSE_S
        source, pending = await self.drain_engine_with_run('p1', LENGTH)
        self.assert_complete(await pending, 'p1', LENGTH)
        self.assertEqual(self.fleet.started['p1'], [source.id])
        self.assertEqual(self.fleet.concurrent, set())

    async def test_a_run_that_ends_before_the_order_to_stop_it(self):
        """A run completes while the stop command is in transit.

        It was copied once. If it counted as stopped, it would be sent to the
        destination, which has dropped the copy by then, and its complete
        response would be cut off.
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
        """An engine stops a run and crashes before the final copy is complete.

        The run must resume from the first copy, as it would after a slightly
        later crash, and not be cut off.
        """
        for replica in self.engines:
            replica.crash_delay_s = CRASH_DELAY_S
        source, pending = await self.drain_engine_with_run('p3', LENGTH)
        self.assert_complete(await pending, 'p3', LENGTH)
        self.assertEqual(self.fleet.started['p3'], [source.id])
        self.assertEqual(self.fleet.concurrent, set())


if __name__ == '__main__':
    unittest.main()
