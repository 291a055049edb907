"""Where a run goes on when its upstream's part of the stream has ended."""

from __future__ import annotations

import asyncio
import types
import unittest
from unittest import mock

from quetzalsill_gateway import at_most_once, event, routing_table
from quetzalsill_gateway.balance import book
from quetzalsill_gateway.fleet import upstream
from quetzalsill_gateway.http import error
from quetzalsill_gateway.stream import continuation, live, segment


def _exchange():
    return types.SimpleNamespace(
        id_text='r',
        priority=1,
        switch_cause='',
        service=routing_table.Service('writers'),
        route=types.SimpleNamespace(kind=routing_table.Kind.STREAM),
    )


class ContinuationTest(unittest.IsolatedAsyncioTestCase):
    """One run, three engines."""

    async def asyncSetUp(self):
        self.engines = [
            upstream.Upstream(f'e-{n}', 'writers', ('10.0.0.1', n), 'z')
            for n in range(3)
        ]
        self.stream = live.Stream(_exchange(), None, book.Reservation(0, 100))
        self.stream.last_id = 80
        self.core = types.SimpleNamespace(
            pages=book.Book(),
            dialect=types.SimpleNamespace(
                priority=b'priority',
                memory_from=b'from',
                resume_after=b'after',
                memory_source=lambda holder, handle: handle.encode(),
            ),
        )
        self.continuation = continuation.Continuation(self.core, self.stream)

    def stopped(self, source, target):
        """Has the run stopped at its source by an order to move."""
        switched = asyncio.get_running_loop().create_future()
        switched.set_result(live.ResumePoint(source, target, 'handle'))
        self.stream.pending_stop = switched

    def segment_of(self, engine, grounds=at_most_once.Grounds.NOT_RUN):
        """Returns a part of the stream that has made events."""
        return segment.Segment(engine, [], grounds, event_count=80)

    async def test_a_stopped_run_resumes_at_its_destination(self):
        source, target, _ = self.engines
        self.stopped(source, target)
        broken = error.TruncatedError('the connection ended')
        found = await self.continuation.next_segment(
            self.segment_of(source), broken
        )
        self.assertIs(found.upstream, target)
        self.assertIs(found.grounds, at_most_once.Grounds.COPY)

    async def test_a_late_answer_to_an_earlier_stop_is_ignored(self):
        """A plan has come to its end, and is sent to a further engine.

        Its engine left, and its connection broke while it was being stopped
        in order to move. It went on at its backup. The answer to that order
        came only then, and was taken for one to the backup's part.
        """
        source, backup, target = self.engines
        self.stopped(source, target)
        current = self.segment_of(backup, at_most_once.Grounds.BACKUP)
        found = await self.continuation.next_segment(current, segment.COMPLETE)
        self.assertIsNone(found)

    async def test_a_later_segment_does_not_use_an_earlier_copy(self):
        """The copy is of the run as it was; the backup's part went further."""
        source, backup, target = self.engines
        self.stopped(source, target)
        current = self.segment_of(backup, at_most_once.Grounds.BACKUP)
        broken = error.TruncatedError('the connection ended')
        self.assertIsNone(await self.continuation.next_segment(current, broken))

    async def test_a_late_final_copy_is_used_by_its_own_move_only(self):
        """A plan moves twice, and goes on from the copy of the first move.

        Its first destination took the copy that was there before the last one,
        which came late and stayed unused. The second destination was full; the
        plan went on from that unused copy, made before all that it had made
        since, in place of where it had just been stopped.
        """
        first, second, third = self.engines
        slow = asyncio.get_running_loop().create_future()
        self.stream.pending_stop = slow
        self.stream.precopy = live.ResumePoint(first, second, 'early')
        broken = error.TruncatedError('the connection ended')
        current = await self.continuation.next_segment(
            self.segment_of(first), broken
        )
        self.assertIs(current.upstream, second)
        slow.set_result(live.ResumePoint(first, second, 'late'))

        current.event_count = 20
        self.stopped(second, third)
        current = await self.continuation.next_segment(current, broken)
        self.assertIs(current.upstream, third)
        self.stream.upstream = third
        back = await self.continuation.next_segment(
            current, error.ConnectError()
        )
        self.assertIs(back.upstream, second)
        self.assertIn((b'from', b'handle'), back.extra_headers)

    async def test_a_copy_in_use_is_not_released_by_its_move(self):
        """A plan is cut off as it goes on from the first copy of its move.

        Its engine breaks off before it was told to stop. While the gateway
        asks whether the run is at work, the move gives the order to stop it,
        finds that the run has gone, and frees the copy that it goes on from.
        """
        source, target, _ = self.engines
        self.stream.precopy = live.ResumePoint(source, target, 'early')

        async def move(*_):
            self.stream.pending_stop = (
                asyncio.get_running_loop().create_future()
            )
            raise error.ConnectError('refused')

        self.core.calls = types.SimpleNamespace(move=move)
        broken = error.TruncatedError('the connection ended', was_reset=True)
        quiet = mock.patch.object(event, 'note')
        with quiet:
            found = await self.continuation.next_segment(
                self.segment_of(source), broken
            )
        self.assertIs(found.upstream, target)
        self.assertIn((b'from', b'early'), found.extra_headers)
        self.assertIsNone(self.stream.precopy)
        self.assertIsNone(self.stream.pending_stop)


if __name__ == '__main__':
    unittest.main()
