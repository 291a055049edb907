"""Where a run goes on when its upstream's part of the stream has ended.

It may have been stopped in order to move, its engine may have crashed or left,
or a destination may not have taken it. A run goes on elsewhere only once it has
surely ended where it was: at work in two places, its work would be done twice,
and its caller might get events of both.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from quetzalsill_gateway import at_most_once, event
from quetzalsill_gateway.balance import backup
from quetzalsill_gateway.http import error
from quetzalsill_gateway.stream import live, stop
from quetzalsill_gateway.stream import segment as segment_lib

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.http import message

__all__ = ['Continuation']

MS_PER_S = 1000
# A run that was stopped is resumed within a pause that callers hardly notice,
# or not at all.
STOP_TIMEOUT_S = 1.5
# A last copy on a free link takes a few round trips. Once the run has stopped,
# its first copy lacks the tokens of one copy's time, which are read again in a
# few steps; waiting for a busy link takes longer.
FINAL_COPY_TIMEOUT_S = 0.04
# An engine leaves every few seconds; a run that meets more of them than this
# goes round in circles.
MAX_SWITCHES = 8
# Ranks at the engine, where 0 is the first: the most urgent route gets the
# first of these, and each further rank a step of two, so that 5, which applies
# to who sends none, stands between.
FIRST_PRIORITY = 2
PRIORITY_STEP = 2
LAST_PRIORITY = 9


class Continuation:
    """Decides where one stream's run goes on, and prepares its segments."""

    def __init__(self, core: core_lib.Core, stream: live.Stream) -> None:
        self._core = core
        self._stream = stream
        self._req = stream.exchange
        self._switches = 0
        self._source: upstream_lib.Upstream | None = None
        self._handle = ''
        self._late_stop: asyncio.Future[live.StopOutcome] | None = None

    def first_segment(
        self, upstream: upstream_lib.Upstream, grounds: at_most_once.Grounds
    ) -> segment_lib.Segment:
        """Returns the segment of a run that begins."""
        return self._segment(upstream, [self._priority()], grounds)

    async def next_segment(
        self, segment: segment_lib.Segment, outcome: segment_lib.Outcome
    ) -> segment_lib.Segment | None:
        """Returns the segment in which the run goes on; None if it does not.

        A run may end while an order to stop it is still under way. Taken for
        stopped, it would be sent to a destination that has dropped the copy
        by then, and a caller who has the whole answer would be cut off.
        """
        if outcome is segment_lib.COMPLETE and segment.is_framed:
            return None
        precopy = self._stream.precopy
        stopped = await self._stop_outcome(segment, outcome)
        # Its stream may end with its connection, and then tells nothing.
        segment.may_have_stopped = stopped not in (
            None,
            live.StopFailure.NOT_STOPPED,
        )
        if isinstance(stopped, live.ResumePoint) and self._count_switch('move'):
            return self._resume_from(stopped)
        if outcome is segment_lib.COMPLETE:
            return None
        if segment_lib.has_not_run(outcome):
            return await self._after_refusal() if segment.continues else None
        if isinstance(outcome, error.CallError):
            return await self._recover(segment, precopy)
        return None

    def resume_headers(self) -> message.Headers:
        """Returns the headers that name the last event the caller has."""
        last = self._stream.last_id
        if last is None:
            return []
        return [(self._core.dialect.resume_after, b'%d' % last)]

    def _count_switch(self, cause: str) -> bool:
        if self._switches >= MAX_SWITCHES:
            return False
        self._switches += 1
        self._req.switch_cause = cause
        return True

    async def _stop_outcome(
        self, segment: segment_lib.Segment, outcome: segment_lib.Outcome
    ) -> live.StopOutcome | None:
        """Returns what an order to stop the run there came to, if there is one.

        An order to an engine from which the run has gone since, to its backup
        as its connection broke, may be answered late. The run went on without
        that copy: going on from it would do work again that is done.

        The engine closes a stream that it stops. One that is reset broke for
        another reason: its engine may be at work still, and refuse the order
        or never get it, so that only its answer counts.
        """
        stream = self._stream
        pending, precopy = stream.pending_stop, stream.precopy
        if pending is None:
            return None
        stream.pending_stop = stream.precopy = None
        if isinstance(outcome, error.TruncatedError) and outcome.was_reset:
            precopy = None
        timeout_s = FINAL_COPY_TIMEOUT_S if precopy else STOP_TIMEOUT_S
        stop_outcome = await _wait_for_outcome(pending, timeout_s)
        late = None
        if precopy is not None and not pending.done():
            # The last copy waits for a link that is busy with others.
            stop_outcome, late = precopy, pending
        is_stale = (
            isinstance(stop_outcome, live.ResumePoint)
            and stop_outcome.source is not segment.upstream
        )
        if is_stale:
            return None
        self._late_stop = late
        return stop_outcome

    async def _recover(
        self, segment: segment_lib.Segment, precopy: live.ResumePoint | None
    ) -> segment_lib.Segment | None:
        """Goes on with a run whose stream broke off, where it surely may.

        The connection may have broken although the engine lives and works on:
        going on elsewhere, the run would be at work twice. So the engine is
        ordered to stop it first.

        Args:
          segment: The part that broke off.
          precopy: The first copy of a move that has not come to its last one.
        """
        # Left to the move, the copy would be freed once the run has gone.
        self._stream.precopy = None
        if precopy is not None and precopy.source is not segment.upstream:
            precopy = None
        target = precopy.target if precopy else self._stream.backup
        if target is None or target.gone:
            return None
        request = self._req.id_text
        calls = self._core.calls
        stopped = await stop.stop(calls, segment.upstream, request, target)
        grounds = at_most_once.to_go_on(
            stopped.state, segment.active_s, is_copied=precopy is not None
        )
        may_switch = grounds is not None and self._count_switch('recovery')
        event.note(
            event.RunBrokeOff(
                request=request,
                source=segment.upstream.id,
                target=target.id,
                stop=stopped.state.value,
                events=segment.event_count,
                made_ms=round(segment.active_s * MS_PER_S, 1),
                grounds=grounds.value if may_switch else '',
                answer=stopped.move.code,
            )
        )
        if not may_switch:
            return None
        if grounds is at_most_once.Grounds.BACKUP:
            return self._resume(target, target, request, grounds)
        if stopped.state is not at_most_once.RunState.STOPPED:
            return self._resume_from(precopy)
        resume_at = target if stopped.move.copied else segment.upstream
        return self._resume_from(
            live.ResumePoint(segment.upstream, resume_at, stopped.move.handle)
        )

    async def _after_refusal(self) -> segment_lib.Segment | None:
        """Goes on elsewhere when the destination did not take the run."""
        pending, self._late_stop = self._late_stop, None
        if pending is not None:
            late_outcome = await _wait_for_outcome(pending, STOP_TIMEOUT_S)
            if isinstance(late_outcome, live.ResumePoint):
                return self._resume_from(late_outcome)
        return self._back_to_source()

    def _back_to_source(self) -> segment_lib.Segment | None:
        """The destination did not take the run: it goes on where it was."""
        source = self._source
        if self._stream.upstream is source or not self._count_switch('move'):
            return None
        return self._resume_from(live.ResumePoint(source, source, self._handle))

    def _resume_from(
        self, resume_point: live.ResumePoint
    ) -> segment_lib.Segment:
        """Goes on from a copy that an engine has named."""
        return self._resume(
            resume_point.target,
            resume_point.source,
            resume_point.handle,
            at_most_once.Grounds.COPY,
        )

    def _resume(
        self,
        target: upstream_lib.Upstream,
        holder: upstream_lib.Upstream,
        handle: str,
        grounds: at_most_once.Grounds,
    ) -> segment_lib.Segment:
        dialect = self._core.dialect
        extra = [
            self._priority(),
            (dialect.memory_from, dialect.memory_source(holder, handle)),
            *self.resume_headers(),
        ]
        self._source = holder
        self._handle = handle
        # An order that was given meanwhile is for where the run was.
        self._stream.pending_stop = None
        return self._segment(target, extra, grounds)

    def _segment(
        self,
        upstream: upstream_lib.Upstream,
        extra: message.Headers,
        grounds: at_most_once.Grounds,
    ) -> segment_lib.Segment:
        """Returns a segment, with a backup if one is worth it."""
        segment = segment_lib.Segment(upstream, extra, grounds)
        stream, req, pages = self._stream, self._req, self._core.pages
        engine = req.service.engine
        if engine is None or not engine.backups or req.route.kind.may_repeat:
            return segment
        if not backup.is_worthwhile(engine, pages, stream.reservation):
            return segment
        segment.backup = backup.destination(
            self._core.upstreams.of(upstream.service, req.regions),
            pages,
            upstream,
            engine,
            req.request_id,
            stream.reservation.memory_tokens,
        )
        if segment.backup is not None:
            address = segment.backup.address_text.encode()
            extra.append((self._core.dialect.backup, address))
        return segment

    def _priority(self) -> tuple[bytes, bytes]:
        priority = FIRST_PRIORITY + PRIORITY_STEP * self._req.priority
        return self._core.dialect.priority, b'%d' % min(LAST_PRIORITY, priority)


async def _wait_for_outcome(
    pending: asyncio.Future[live.StopOutcome], timeout_s: float
) -> live.StopOutcome:
    """Returns what an order came to, if there is word of it in time.

    A process that is paused wakes to the answer and to the end of its patience
    in the same turn of its loop. The wait is then given up although the answer
    is there, by which a run that was stopped is not lost.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await asyncio.shield(pending)
    return pending.result() if pending.done() else live.StopFailure.NO_RESPONSE
