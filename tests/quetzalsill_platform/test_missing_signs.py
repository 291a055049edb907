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
ORDER_S = 1.5
WORKS_ON_S = 5.0


class _Unframed(scripted.Exchange):
    """An answer without length or chunks: it ends with its connection."""

    def head(self, status, headers):
        left = dict(headers)
        left.pop('Transfer-Encoding', None)
        super().head(status, left)

    def chunk(self, data):
        if data:
            self.writer.write(data)
        else:
            self.writer.close()


class Engine(engine.Engine):
    """An engine that is hard to read.

    Attributes:
      works_on: Carries no order to stop a run out, and answers 409.
      refusal: Body of that answer.
      refusals: How many such answers it gives; it resets further orders.
      pause_s: The process is paused so long behind such an answer.
      order_s: Time that an order to stop a run is under way.
      breaks_off: An order to stop finds the stream broken off, and the engine
        at work behind it.
      loses_answers: Stops a run by order, and its answer is lost.
      is_framed: Whether its streams tell where they end.
    """

    works_on = False
    refusal = b''
    refusals = 1_000_000
    pause_s = 0.0
    order_s = 0.0
    breaks_off = False
    loses_answers = False
    is_framed = True

    async def _move(self, call):
        order = json.loads(call.body)
        run = self._runs.get(order['id'])
        is_at_work = run is not None and run.running
        if is_at_work and order.get('last'):
            if self.breaks_off:
                self.break_after = run.made + 1
            await asyncio.sleep(self.order_s)
            if self.loses_answers:
                run.running = False
                self._fleet.end(run.request_id, self.id)
                call.abort()
                return
            if self.works_on and not self.refusals:
                call.abort()
                return
            if self.works_on:
                self.refusals -= 1
                call.answer(409, self.refusal)
                time.sleep(self.pause_s)
                return
        await super()._move(call)

    async def _stream(self, call, *args, **more):
        if not self.is_framed:
            call = _Unframed(
                call.method, call.target, call.headers, call.body, call.writer
            )
        await super()._stream(call, *args, **more)


class _Fixture(test_streams.StreamFixture):
    """Engines that are hard to read."""

    async def asyncSetUp(self):
        with mock.patch.object(engine, 'Engine', Engine):
            await super().asyncSetUp()


class BackedUpTest(_Fixture):
    """Runs whose memory is to be sent to a second engine as it grows."""

    engine = {'backups': True, 'linkMbps': 2700.0}

    async def test_a_run_without_a_copy_does_not_begin_at_its_backup(self):
        """Engines make one event of a plan and reset it; it began at others.

        No engine has room for a copy, and memory goes a few times a second
        only, so that none was sent. That the engine made an event was taken
        for a copy, and an engine that looks for it late began the plan again.
        """
        for writer in self.engines:
            writer.break_after, writer.full = 1, True
            writer.ignores_copies = True
        answer = await self.stream(request_id='n1', headers=test_backups.LONG)
        self.assertFalse(answer.whole)
        self.assertEqual(len(self.fleet.started['n1']), 1)

    async def break_off(self, request_id):
        """Breaks a plan off while its engine works on; returns the answer."""
        for writer in self.engines:
            writer.length, writer.break_after = 80, 20
            writer.works_on_s, writer.works_on = WORKS_ON_S, True
        asked = asyncio.create_task(
            self.stream(request_id=request_id, headers=test_backups.LONG)
        )
        source = await self.until_working()
        for writer in self.engines:
            if writer is not source:
                writer.break_after = None
        return await asked

    async def test_a_refusal_in_plain_text_is_one(self):
        """An engine works on behind a broken connection, and says so in text.

        It answers 409 to the order to stop, with a line of text for a body.
        Read as JSON first, the answer was taken for none, the engine for one
        that is gone, and two engines worked on the plan.
        """
        for writer in self.engines:
            writer.refusal = b'another order is under way\n'
        answer = await self.break_off('n2')
        self.assertEqual(self.fleet.doubled, set())
        self.assertFalse(answer.whole)

    async def test_a_refusal_that_comes_as_the_patience_ends(self):
        """The gateway wakes from a pause to a refusal and to its patience.

        Both come in one turn of its loop. The order was given up although its
        answer was there, the engine taken for one that is gone, and two
        engines worked on the plan.
        """
        for writer in self.engines:
            writer.pause_s = PAUSE_S
        answer = await self.break_off('n3')
        self.assertEqual(self.fleet.doubled, set())
        self.assertFalse(answer.whole)

    async def test_a_refusal_counts_though_the_next_order_is_lost(self):
        """An engine says that it works on, and resets the order after that.

        The lost answer was believed over the one that had come: the engine was
        taken for one that is gone, and two engines worked on the plan.
        """
        for writer in self.engines:
            writer.refusals = 1
        answer = await self.break_off('n8')
        self.assertEqual(self.fleet.doubled, set())
        self.assertFalse(answer.whole)

    async def test_a_refusal_that_comes_late(self):
        """An engine works on behind a broken connection, and is slow to answer.

        It can be reached, takes the order, and would say later that it does
        not carry it out. Silence for a moment was taken for an engine that is
        gone, and two engines worked on the plan.
        """
        for writer in self.engines:
            writer.order_s = ORDER_S
        answer = await self.break_off('n4')
        self.assertEqual(self.fleet.doubled, set())
        self.assertFalse(answer.whole)


async def leave_with_a_run(test, request_id):
    """Has the engine of a plan leave; returns the plan's answer."""
    for writer in test.engines:
        writer.length = LENGTH
    asked = asyncio.create_task(test.stream(request_id=request_id))
    source = await test.until_working()
    source.leaving, source.leaves_ms = True, 1900
    test.enter(source)
    return await asked


class MovedTest(_Fixture):
    """Runs that are moved as their engine leaves."""

    async def test_a_run_that_broke_off_before_the_order_to_stop_it(self):
        """A plan breaks off while the order to stop it is under way.

        A first copy was made while it went on. Its connection breaks, the
        engine works on, and refuses the order when it comes. The end of the
        stream was taken for the stop: the plan went on from the first copy,
        and two engines worked on it.
        """
        for writer in self.engines:
            writer.breaks_off, writer.works_on_s = True, WORKS_ON_S
            writer.order_s, writer.works_on = ORDER_S, True
        answer = await leave_with_a_run(self, 'n5')
        self.assertEqual(self.fleet.doubled, set())
        self.assertFalse(answer.whole)

    async def test_a_stopped_run_whose_answer_was_lost_is_not_whole(self):
        """A plan is stopped by order, and the answer to the order is lost.

        Its stream tells no end of its own, and ends with its connection. That
        nothing came of the order was taken for a run that was not stopped:
        its caller got a part of the plan as the whole.
        """
        for writer in self.engines:
            writer.is_framed, writer.loses_answers = False, True
        answer = await leave_with_a_run(self, 'n6')
        if answer.whole:
            self.assertEqual(answer.body, self.whole('n6', LENGTH))

    async def test_a_stopped_run_that_may_not_switch_is_not_whole(self):
        """A plan is stopped by order after as many switches as it may make.

        Its stream ends with its connection, and nothing goes on; its caller
        got a part of the plan as the whole.
        """
        bound = mock.patch.object(continuation, 'MAX_SWITCHES', 0)
        bound.start()
        self.addCleanup(bound.stop)
        for writer in self.engines:
            writer.is_framed = False
        answer = await leave_with_a_run(self, 'n7')
        if answer.whole:
            self.assertEqual(answer.body, self.whole('n7', LENGTH))

    async def test_room_kept_for_a_move_is_given_back(self):
        """A caller leaves while its plan's last copy is under way.

        The order succeeds, and nobody goes on from the copy. The room that
        was kept for the plan at its destination stays taken for good: the
        engine looks fuller with each such caller.
        """
        bound = mock.patch.object(continuation, 'FINAL_COPY_TIMEOUT_S', ORDER_S)
        bound.start()
        self.addCleanup(bound.stop)
        for writer in self.engines:
            writer.length, writer.last_copy_s = LENGTH, PAUSE_S
        caller = self.caller()
        await caller.open()
        headers = test_streams.PROMPT
        caller.send('/plan/', method='POST', body=b'x', headers=headers)
        source = await self.until_working()
        source.leaving, source.leaves_ms = True, 1900
        self.enter(source)
        await self.until(lambda: self.working() is None)
        caller.leave()
        await self.until(lambda: any(e._copies for e in self.engines))
        core = self.process.core
        moving = self.process._gateway._migration._moving
        await self.until(lambda: not moving)
        for found in core.upstreams.all():
            self.assertEqual(core.stats_table.of(found).reserved_tokens, 0)


if __name__ == '__main__':
    unittest.main()
