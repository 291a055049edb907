"""Runs whose engine responds ambiguously to a stop command, or not at all."""

from __future__ import annotations

import asyncio
import json
import time
import unittest
from unittest import mock

from quetzalsill_dev.users_platform import engine, scripted
from quetzalsill_gateway.stream import continuation
from tests.quetzalsill_platform import test_backups, test_streams

LENGTH = 60
# Far enough from the gateway's timeout for stop commands to be safe from
# scheduling delays on a busy machine.
PAUSE_S = 0.6
STOP_DELAY_S = 1.5
KEEPS_RUNNING_S = 5.0


class _Unframed(scripted.Exchange):
    """A response without length or chunks, which ends with its connection."""

    def send_head(self, status, headers):
        unframed_headers = dict(headers)
        unframed_headers.pop('Transfer-Encoding', None)
        super().send_head(status, unframed_headers)

    def send_chunk(self, data):
        if data:
            self.writer.write(data)
        else:
            self.writer.close()


class Engine(engine.Engine):
    """An engine with ambiguous responses.

    Attributes:
      keeps_running: Refuses to stop a run and responds with 409.
      refusal_body: Body of that response.
      refusal_count: Number of such responses; the connections of further stop
        commands are reset.
      pause_s: Time for which the process pauses after such a response.
      stop_delay_s: Time until a stop command is processed.
      breaks_at_stop: The stream breaks when a stop command arrives, while the
        engine keeps running it.
      drops_stop_response: Stops a run, but the response to the command is lost.
      is_framed: Whether its streams have a length or chunks.
    """

    keeps_running = False
    refusal_body = b''
    refusal_count = 1_000_000
    pause_s = 0.0
    stop_delay_s = 0.0
    breaks_at_stop = False
    drops_stop_response = False
    is_framed = True

    async def _move(self, call):
        command = json.loads(call.body)
        run = self._runs.get(command['id'])
        is_running = run is not None and run.running
        if is_running and command.get('last'):
            if self.breaks_at_stop:
                self.abort_after = run.event_count + 1
            await asyncio.sleep(self.stop_delay_s)
            if self.drops_stop_response:
                run.running = False
                self._fleet.run_ended(run.request_id, self.id)
                call.abort()
                return
            if self.keeps_running and not self.refusal_count:
                call.abort()
                return
            if self.keeps_running:
                self.refusal_count -= 1
                call.respond(409, self.refusal_body)
                time.sleep(self.pause_s)
                return
        await super()._move(call)

    async def _stream(self, call, *args, **kwargs):
        if not self.is_framed:
            call = _Unframed(
                call.method, call.target, call.headers, call.body, call.writer
            )
        await super()._stream(call, *args, **kwargs)


class _AmbiguousTestCase(test_streams.StreamTestCase):
    """Starts engines that respond ambiguously."""

    async def asyncSetUp(self):
        with mock.patch.object(engine, 'Engine', Engine):
            await super().asyncSetUp()


class BackedUpTest(_AmbiguousTestCase):
    """Runs whose KV cache is sent to a second engine as it grows."""

    engine = {'backups': True, 'linkMbps': 2700.0}

    async def test_a_run_without_a_copy_does_not_begin_at_its_backup(self):
        """Engines reset a run after one event, before a backup exists.

        No engine has room for a copy, and copies are sent only a few times a
        second, so none was made. One event must not count as proof of a copy:
        an engine that looks for the copy late would start the run again.
        """
        for replica in self.engines:
            replica.abort_after, replica.full = 1, True
            replica.ignores_copies = True
        response = await self.stream(
            request_id='n1', headers=test_backups.LONG_HEADERS
        )
        self.assertFalse(response.complete)
        self.assertEqual(len(self.fleet.started['n1']), 1)

    async def interrupt_stream(self, request_id):
        """Breaks a stream whose engine keeps running; returns the response."""
        for replica in self.engines:
            replica.length, replica.abort_after = 80, 20
            replica.keeps_running_s, replica.keeps_running = (
                KEEPS_RUNNING_S,
                True,
            )
        pending = asyncio.create_task(
            self.stream(
                request_id=request_id, headers=test_backups.LONG_HEADERS
            )
        )
        source = await self.wait_until_working()
        for replica in self.engines:
            if replica is not source:
                replica.abort_after = None
        return await pending

    async def test_a_refusal_in_plain_text_counts(self):
        """The engine refuses a stop command with a plain-text body.

        It keeps running after its connection broke, and responds with 409. If
        the body had to be JSON, the engine would count as gone, and two engines
        would work on the run.
        """
        for replica in self.engines:
            replica.refusal_body = b'another order is under way\n'
        response = await self.interrupt_stream('n2')
        self.assertEqual(self.fleet.concurrent, set())
        self.assertFalse(response.complete)

    async def test_a_refusal_that_races_the_timeout(self):
        """A refusal and the command's timeout are due in one loop iteration.

        Both are pending when the gateway resumes from a pause. If the timeout
        won, the engine would count as gone, and two engines would work on the
        run.
        """
        for replica in self.engines:
            replica.pause_s = PAUSE_S
        response = await self.interrupt_stream('n3')
        self.assertEqual(self.fleet.concurrent, set())
        self.assertFalse(response.complete)

    async def test_a_refusal_counts_though_the_next_order_is_lost(self):
        """An engine refuses one stop command and resets the next one.

        If the reset overrode the refusal, the engine would count as gone, and
        two engines would work on the run.
        """
        for replica in self.engines:
            replica.refusal_count = 1
        response = await self.interrupt_stream('n8')
        self.assertEqual(self.fleet.concurrent, set())
        self.assertFalse(response.complete)

    async def test_a_refusal_that_comes_late(self):
        """An engine keeps running and is slow to refuse the stop command.

        It is reachable and accepts the command. If a moment without a response
        counted as an engine that is gone, two engines would work on the run.
        """
        for replica in self.engines:
            replica.stop_delay_s = STOP_DELAY_S
        response = await self.interrupt_stream('n4')
        self.assertEqual(self.fleet.concurrent, set())
        self.assertFalse(response.complete)


async def drain_engine_with_run(test, request_id):
    """Drains the engine of a stream; returns the stream's response."""
    for replica in test.engines:
        replica.length = LENGTH
    pending = asyncio.create_task(test.stream(request_id=request_id))
    source = await test.wait_until_working()
    source.leaving, source.leaves_ms = True, 1900
    test.register(source)
    return await pending


class MovedTest(_AmbiguousTestCase):
    """Runs that are moved because their engine is draining."""

    async def test_a_run_that_broke_off_before_the_order_to_stop_it(self):
        """A stream breaks while the stop command is in transit.

        The first copy was made while the run continued. The connection breaks,
        and the engine keeps running and refuses the command. If the end of the
        stream counted as the stop, the run would resume from the first copy,
        and two engines would work on it.
        """
        for replica in self.engines:
            replica.breaks_at_stop, replica.keeps_running_s = (
                True,
                KEEPS_RUNNING_S,
            )
            replica.stop_delay_s, replica.keeps_running = STOP_DELAY_S, True
        response = await drain_engine_with_run(self, 'n5')
        self.assertEqual(self.fleet.concurrent, set())
        self.assertFalse(response.complete)

    async def test_a_stopped_run_whose_answer_was_lost_is_not_whole(self):
        """A run is stopped, and the response to the command is lost.

        Its stream is unframed and ends with its connection. If the missing
        response meant that the run was not stopped, the caller would get a
        truncated stream as a complete one.
        """
        for replica in self.engines:
            replica.is_framed, replica.drops_stop_response = False, True
        response = await drain_engine_with_run(self, 'n6')
        if response.complete:
            self.assertEqual(response.body, self.expected_stream('n6', LENGTH))

    async def test_a_stopped_run_that_may_not_switch_is_not_whole(self):
        """A run is stopped when it may not switch engines any more.

        Its unframed stream ends with its connection, and the run does not
        resume. The caller must not get the truncated stream as a complete one.
        """
        patcher = mock.patch.object(continuation, 'MAX_SWITCHES', 0)
        patcher.start()
        self.addCleanup(patcher.stop)
        for replica in self.engines:
            replica.is_framed = False
        response = await drain_engine_with_run(self, 'n7')
        if response.complete:
            self.assertEqual(response.body, self.expected_stream('n7', LENGTH))

    async def test_a_reservation_for_a_move_is_released(self):
        """A caller disconnects during the final copy of its run.

        The move succeeds, and nobody resumes from the copy. If the reservation
        at the destination were kept, the engine would look fuller with each
        such caller.
        """
        patcher = mock.patch.object(
            continuation, 'FINAL_COPY_TIMEOUT_S', STOP_DELAY_S
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        for replica in self.engines:
            replica.length, replica.final_copy_s = LENGTH, PAUSE_S
        caller = self.caller()
        await caller.open()
        headers = test_streams.PROMPT
        caller.send('/plan/', method='POST', body=b'x', headers=headers)
        source = await self.wait_until_working()
        source.leaving, source.leaves_ms = True, 1900
        self.register(source)
        await self.wait_until(lambda: self.working_engine() is None)
        caller.disconnect()
        await self.wait_until(lambda: any(e._copies for e in self.engines))
        core = self.process.core
        moving = self.process._gateway._migration._moving
        await self.wait_until(lambda: not moving)
        for upstream in core.upstreams.all():
            self.assertEqual(core.stats_table.of(upstream).reserved_tokens, 0)


if __name__ == '__main__':
    unittest.main()
