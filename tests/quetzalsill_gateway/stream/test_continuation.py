"""Tests where a run resumes after a segment of its stream has ended."""

from __future__ import annotations

import asyncio
import types
import unittest
from unittest import mock

from quetzalsill_gateway import at_most_once, event, routing_table
from quetzalsill_gateway.balance import upstream_stats
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
    """A run with three engines that it can use."""

    async def asyncSetUp(self):
        self.engines = [
            upstream.Upstream(f'e-{n}', 'writers', ('10.0.0.1', n), 'z')
            for n in range(3)
        ]
        self.stream = live.Stream(
            _exchange(), None, upstream_stats.Reservation(0, 100)
        )
        self.stream.last_id = 80
        self.core = types.SimpleNamespace(
            stats_table=upstream_stats.StatsTable(),
            upstreams=upstream.Upstreams(),
            dialect=types.SimpleNamespace(
                priority=b'priority',
                kv_from=b'from',
                resume_after=b'after',
                format_kv_from=lambda holder, handle: handle.encode(),
            ),
        )
        self.continuation = continuation.Continuation(self.core, self.stream)

    def set_stopped(self, source, target):
        """Simulates that a stop command at the source has succeeded."""
        pending_stop = asyncio.get_running_loop().create_future()
        pending_stop.set_result(live.ResumePoint(source, target, 'handle'))
        self.stream.pending_stop = pending_stop

    def segment_of(self, engine, grounds=at_most_once.Grounds.NOT_RUN):
        """Returns a segment of the stream that has produced events."""
        return segment.Segment(engine, [], grounds, event_count=80)

    async def test_a_stopped_run_resumes_at_its_destination(self):
        source, target, _ = self.engines
        self.set_stopped(source, target)
        interrupted = error.TruncatedError('the connection ended')
        resumed = await self.continuation.next_segment(
            self.segment_of(source), interrupted
        )
        self.assertIs(resumed.upstream, target)
        self.assertIs(resumed.grounds, at_most_once.Grounds.COPY)

    async def test_a_late_answer_to_an_earlier_stop_is_ignored(self):
        """Guards against moving a run that is complete.

        The engine shuts down, and the connection breaks while the run is being
        stopped. The run resumes from its backup. The answer to the stop command
        arrives only then, and must not apply to the backup's segment.
        """
        source, backup, target = self.engines
        self.set_stopped(source, target)
        current = self.segment_of(backup, at_most_once.Grounds.BACKUP)
        resumed = await self.continuation.next_segment(
            current, segment.COMPLETE
        )
        self.assertIsNone(resumed)

    async def test_a_later_segment_does_not_use_an_earlier_copy(self):
        """The copy is outdated: the run has continued at its backup since."""
        source, backup, target = self.engines
        self.set_stopped(source, target)
        current = self.segment_of(backup, at_most_once.Grounds.BACKUP)
        interrupted = error.TruncatedError('the connection ended')
        self.assertIsNone(
            await self.continuation.next_segment(current, interrupted)
        )

    async def test_a_late_final_copy_is_used_by_its_own_move_only(self):
        """Guards against resuming from the copy of an earlier move.

        In the first move the final copy is late, so the run resumes from the
        first copy and the final copy stays unused. In the second move the
        destination is full. The run must resume where it was just stopped, and
        not from the unused copy, which lacks everything generated since.
        """
        first, second, third = self.engines
        late_stop = asyncio.get_running_loop().create_future()
        self.stream.pending_stop = late_stop
        self.stream.precopy = live.ResumePoint(first, second, 'early')
        interrupted = error.TruncatedError('the connection ended')
        current = await self.continuation.next_segment(
            self.segment_of(first), interrupted
        )
        self.assertIs(current.upstream, second)
        late_stop.set_result(live.ResumePoint(first, second, 'late'))

        current.event_count = 20
        self.set_stopped(second, third)
        current = await self.continuation.next_segment(current, interrupted)
        self.assertIs(current.upstream, third)
        self.stream.upstream = third
        retried = await self.continuation.next_segment(
            current, error.ConnectError()
        )
        self.assertIs(retried.upstream, second)
        self.assertIn((b'from', b'handle'), retried.extra_headers)

    async def test_a_copy_in_use_is_not_released_by_its_move(self):
        """Guards against releasing the copy from which a run resumes.

        The engine resets the stream before it was told to stop the run. While
        the gateway determines the state of the run, the move sends its stop
        command, finds that the run has ended, and releases the copy.
        """
        source, target, _ = self.engines
        self.stream.precopy = live.ResumePoint(source, target, 'early')

        async def move(*_):
            self.stream.pending_stop = (
                asyncio.get_running_loop().create_future()
            )
            raise error.ConnectError('refused')

        self.core.calls = types.SimpleNamespace(move=move)
        interrupted = error.TruncatedError(
            'the connection ended', was_reset=True
        )
        without_events = mock.patch.object(event, 'note')
        with without_events:
            resumed = await self.continuation.next_segment(
                self.segment_of(source), interrupted
            )
        self.assertIs(resumed.upstream, target)
        self.assertIn((b'from', b'early'), resumed.extra_headers)
        self.assertIsNone(self.stream.precopy)
        self.assertIsNone(self.stream.pending_stop)


if __name__ == '__main__':
    unittest.main()
