"""Runs whose engine gives no sign, or one that is hard to read."""

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
# Wide apart from the gateway's patience for an order, on a busy machine too.
PAUSE_S = 0.6
STOP_DELAY_S = 1.5
KEEPS_RUNNING_S = 5.0


class _Unframed(scripted.Exchange):
    """An answer without length or chunks: it ends with its connection."""

    def head(self, status, headers):
        unframed_headers = dict(headers)
        unframed_headers.pop('Transfer-Encoding', None)
        super().head(status, unframed_headers)

    def chunk(self, data):
        if data:
            self.writer.write(data)
        else:
            self.writer.close()


class Engine(engine.Engine):
    """An engine that is hard to read.

    Attributes:
      keeps_running: Carries no order to stop a run out, and answers 409.
      refusal_body: Body of that answer.
      refusal_count: How many such answers it gives; it resets further orders.
      pause_s: The process is paused so long behind such an answer.
      stop_delay_s: Time that an order to stop a run is under way.
      breaks_at_stop: The stream breaks when a stop command arrives, while the
        engine keeps running it.
      drops_stop_response: Stops a run by order, and its answer is lost.
      is_framed: Whether its streams tell where they end.
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
                self.break_after = run.made + 1
            await asyncio.sleep(self.stop_delay_s)
            if self.drops_stop_response:
                run.running = False
                self._fleet.end(run.request_id, self.id)
                call.abort()
                return
            if self.keeps_running and not self.refusal_count:
                call.abort()
                return
            if self.keeps_running:
                self.refusal_count -= 1
                call.answer(409, self.refusal_body)
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
    """Engines that are hard to read."""

    async def asyncSetUp(self):
        with mock.patch.object(engine, 'Engine', Engine):
            await super().asyncSetUp()


class BackedUpTest(_AmbiguousTestCase):
    """Runs whose memory is to be sent to a second engine as it grows."""

    engine = {'backups': True, 'linkMbps': 2700.0}

    async def test_a_run_without_a_copy_does_not_begin_at_its_backup(self):
        """Engines make one event of a plan and reset it; it began at others.

        No engine has room for a copy, and memory goes a few times a second
        only, so that none was sent. That the engine made an event was taken
        for a copy, and an engine that looks for it late began the plan again.
        """
        for replica in self.engines:
            replica.break_after, replica.full = 1, True
            replica.ignores_copies = True
        response = await self.stream(
            request_id='n1', headers=test_backups.LONG_HEADERS
        )
        self.assertFalse(response.whole)
        self.assertEqual(len(self.fleet.started['n1']), 1)

    async def interrupt_stream(self, request_id):
        """Breaks a plan off while its engine works on; returns the answer."""
        for replica in self.engines:
            replica.length, replica.break_after = 80, 20
            replica.works_on_s, replica.keeps_running = KEEPS_RUNNING_S, True
        pending = asyncio.create_task(
            self.stream(
                request_id=request_id, headers=test_backups.LONG_HEADERS
            )
        )
        source = await self.wait_until_working()
        for replica in self.engines:
            if replica is not source:
                replica.break_after = None
        return await pending

    async def test_a_refusal_in_plain_text_is_one(self):
        """An engine works on behind a broken connection, and says so in text.

        It answers 409 to the order to stop, with a line of text for a body.
        Read as JSON first, the answer was taken for none, the engine for one
        that is gone, and two engines worked on the plan.
        """
        for replica in self.engines:
            replica.refusal_body = b'another order is under way\n'
        response = await self.interrupt_stream('n2')
        self.assertEqual(self.fleet.doubled, set())
        self.assertFalse(response.whole)

    async def test_a_refusal_that_comes_as_the_patience_ends(self):
        """The gateway wakes from a pause to a refusal and to its patience.

        Both come in one turn of its loop. The order was given up although its
        answer was there, the engine taken for one that is gone, and two
        engines worked on the plan.
        """
        for replica in self.engines:
            replica.pause_s = PAUSE_S
        response = await self.interrupt_stream('n3')
        self.assertEqual(self.fleet.doubled, set())
        self.assertFalse(response.whole)

    async def test_a_refusal_counts_though_the_next_order_is_lost(self):
        """An engine says that it works on, and resets the order after that.

        The lost answer was believed over the one that had come: the engine was
        taken for one that is gone, and two engines worked on the plan.
        """
        for replica in self.engines:
            replica.refusal_count = 1
        response = await self.interrupt_stream('n8')
        self.assertEqual(self.fleet.doubled, set())
        self.assertFalse(response.whole)

    async def test_a_refusal_that_comes_late(self):
        """An engine works on behind a broken connection, and is slow to answer.

        It can be reached, takes the order, and would say later that it does
        not carry it out. Silence for a moment was taken for an engine that is
        gone, and two engines worked on the plan.
        """
        for replica in self.engines:
            replica.stop_delay_s = STOP_DELAY_S
        response = await self.interrupt_stream('n4')
        self.assertEqual(self.fleet.doubled, set())
        self.assertFalse(response.whole)


async def drain_engine_with_run(test, request_id):
    """Has the engine of a plan leave; returns the plan's answer."""
    for replica in test.engines:
        replica.length = LENGTH
    pending = asyncio.create_task(test.stream(request_id=request_id))
    source = await test.wait_until_working()
    source.leaving, source.leaves_ms = True, 1900
    test.register(source)
    return await pending


class MovedTest(_AmbiguousTestCase):
    """Runs that are moved as their engine leaves."""

    async def test_a_run_that_broke_off_before_the_order_to_stop_it(self):
        """A plan breaks off while the order to stop it is under way.

        A first copy was made while it went on. Its connection breaks, the
        engine works on, and refuses the order when it comes. The end of the
        stream was taken for the stop: the plan went on from the first copy,
        and two engines worked on it.
        """
        for replica in self.engines:
            replica.breaks_at_stop, replica.works_on_s = True, KEEPS_RUNNING_S
            replica.stop_delay_s, replica.keeps_running = STOP_DELAY_S, True
        response = await drain_engine_with_run(self, 'n5')
        self.assertEqual(self.fleet.doubled, set())
        self.assertFalse(response.whole)

    async def test_a_stopped_run_whose_answer_was_lost_is_not_whole(self):
        """A plan is stopped by order, and the answer to the order is lost.

        Its stream tells no end of its own, and ends with its connection. That
        nothing came of the order was taken for a run that was not stopped:
        its caller got a part of the plan as the whole.
        """
        for replica in self.engines:
            replica.is_framed, replica.drops_stop_response = False, True
        response = await drain_engine_with_run(self, 'n6')
        if response.whole:
            self.assertEqual(response.body, self.expected_stream('n6', LENGTH))

    async def test_a_stopped_run_that_may_not_switch_is_not_whole(self):
        """A plan is stopped by order after as many switches as it may make.

        Its stream ends with its connection, and nothing goes on; its caller
        got a part of the plan as the whole.
        """
        patcher = mock.patch.object(continuation, 'MAX_SWITCHES', 0)
        patcher.start()
        self.addCleanup(patcher.stop)
        for replica in self.engines:
            replica.is_framed = False
        response = await drain_engine_with_run(self, 'n7')
        if response.whole:
            self.assertEqual(response.body, self.expected_stream('n7', LENGTH))

    async def test_room_kept_for_a_move_is_given_back(self):
        """A caller leaves while its plan's last copy is under way.

        The order succeeds, and nobody goes on from the copy. The room that
        was kept for the plan at its destination stays taken for good: the
        engine looks fuller with each such caller.
        """
        patcher = mock.patch.object(
            continuation, 'FINAL_COPY_TIMEOUT_S', STOP_DELAY_S
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        for replica in self.engines:
            replica.length, replica.last_copy_s = LENGTH, PAUSE_S
        caller = self.caller()
        await caller.open()
        headers = test_streams.PROMPT
        caller.send('/plan/', method='POST', body=b'x', headers=headers)
        source = await self.wait_until_working()
        source.leaving, source.leaves_ms = True, 1900
        self.register(source)
        await self.wait_until(lambda: self.working_engine() is None)
        caller.leave()
        await self.wait_until(lambda: any(e._copies for e in self.engines))
        core = self.process.core
        moving = self.process._gateway._migration._moving
        await self.wait_until(lambda: not moving)
        for found in core.upstreams.all():
            self.assertEqual(core.stats_table.of(found).reserved_tokens, 0)


if __name__ == '__main__':
    unittest.main()
