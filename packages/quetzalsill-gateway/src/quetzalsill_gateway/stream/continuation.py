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
SWITCH_S = 1.5
# A last copy on a free link takes a few round trips. Once the run has stopped,
# its first copy lacks the tokens of one copy's time, which are read again in a
# few steps; waiting for a busy link takes longer.
LAST_COPY_S = 0.04
# An engine leaves every few seconds; a run that meets more of them than this
# goes round in circles.
MOST_SWITCHES = 8
# Ranks at the engine, where 0 is the first: the most urgent route gets the
# first of these, and each further rank a step of two, so that 5, which applies
# to who sends none, stands between.
FIRST_RANK = 2
RANK_STEP = 2
LAST_RANK = 9


class Continuation:
    """Decides where one stream's run goes on, and prepares its segments."""

    def __init__(self, core: core_lib.Core, stream: live.Stream) -> None:
        self._core = core
        self._stream = stream
        self._req = stream.exchange
        self._switches = 0
        self._source: upstream_lib.Upstream | None = None
        self._handle = ''
        self._late_switch: asyncio.Future[live.StopOutcome] | None = None

    def begin(
        self, upstream: upstream_lib.Upstream, grounds: at_most_once.Grounds
    ) -> segment_lib.Segment:
        """Returns the segment of a run that begins."""
        return self._segment(upstream, [self._priority()], grounds)

    async def after(
        self, segment: segment_lib.Segment, end: segment_lib.Outcome
    ) -> segment_lib.Segment | None:
        """Returns the segment in which the run goes on; None if it does not.

        A run may end while an order to stop it is still under way. Taken for
        stopped, it would be sent to a destination that has dropped the copy
        by then, and a caller who has the whole answer would be cut off.
        """
        if end is segment_lib.COMPLETE and segment.is_framed:
            return None
        copied = self._stream.precopy
        ordered = await self._ordered(segment, end)
        # Its stream may end with its connection, and then tells nothing.
        segment.may_have_stopped = ordered not in (
            None,
            live.StopFailure.NOT_STOPPED,
        )
        if isinstance(ordered, live.ResumePoint) and self._take_switch('move'):
            return self._from_copy(ordered)
        if end is segment_lib.COMPLETE:
            return None
        if segment_lib.is_not_run(end):
            return await self._after_refused() if segment.continues else None
        if isinstance(end, error.CallError):
            return await self._recovered(segment, copied)
        return None

    def resume_after(self) -> message.Headers:
        """Returns the headers that name the last event the caller has."""
        last = self._stream.last_id
        if last is None:
            return []
        return [(self._core.dialect.resume_after, b'%d' % last)]

    def _take_switch(self, cause: str) -> bool:
        if self._switches >= MOST_SWITCHES:
            return False
        self._switches += 1
        self._req.switch_cause = cause
        return True

    async def _ordered(
        self, segment: segment_lib.Segment, end: segment_lib.Outcome
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
        pending, copied = stream.pending_stop, stream.precopy
        if pending is None:
            return None
        stream.pending_stop = stream.precopy = None
        if isinstance(end, error.TruncatedError) and end.was_reset:
            copied = None
        patience_s = LAST_COPY_S if copied else SWITCH_S
        ordered = await _settled(pending, patience_s)
        late = None
        if copied is not None and not pending.done():
            # The last copy waits for a link that is busy with others.
            ordered, late = copied, pending
        is_other = (
            isinstance(ordered, live.ResumePoint)
            and ordered.source is not segment.upstream
        )
        if is_other:
            return None
        self._late_switch = late
        return ordered

    async def _recovered(
        self, segment: segment_lib.Segment, copied: live.ResumePoint | None
    ) -> segment_lib.Segment | None:
        """Goes on with a run whose stream broke off, where it surely may.

        The connection may have broken although the engine lives and works on:
        going on elsewhere, the run would be at work twice. So the engine is
        ordered to stop it first.

        Args:
          segment: The part that broke off.
          copied: The first copy of a move that has not come to its last one.
        """
        # Left to the move, the copy would be freed once the run has gone.
        self._stream.precopy = None
        if copied is not None and copied.source is not segment.upstream:
            copied = None
        target = copied.target if copied else self._stream.backup
        if target is None or target.gone:
            return None
        request = self._req.id_text
        calls = self._core.calls
        stopped = await stop.stop(calls, segment.upstream, request, target)
        grounds = at_most_once.to_go_on(
            stopped.state, segment.active_s, is_copied=copied is not None
        )
        may_switch = grounds is not None and self._take_switch('recovery')
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
            return self._continued(target, target, request, grounds)
        if stopped.state is not at_most_once.RunState.STOPPED:
            return self._from_copy(copied)
        where = target if stopped.move.copied else segment.upstream
        return self._from_copy(
            live.ResumePoint(segment.upstream, where, stopped.move.handle)
        )

    async def _after_refused(self) -> segment_lib.Segment | None:
        """Goes on elsewhere when the destination did not take the run."""
        pending, self._late_switch = self._late_switch, None
        if pending is not None:
            switch = await _settled(pending, SWITCH_S)
            if isinstance(switch, live.ResumePoint):
                return self._from_copy(switch)
        return self._back_to_source()

    def _back_to_source(self) -> segment_lib.Segment | None:
        """The destination did not take the run: it goes on where it was."""
        source = self._source
        if self._stream.upstream is source or not self._take_switch('move'):
            return None
        return self._from_copy(live.ResumePoint(source, source, self._handle))

    def _from_copy(self, switch: live.ResumePoint) -> segment_lib.Segment:
        """Goes on from a copy that an engine has named."""
        return self._continued(
            switch.target,
            switch.source,
            switch.handle,
            at_most_once.Grounds.COPY,
        )

    def _continued(
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
            *self.resume_after(),
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
        rank = FIRST_RANK + RANK_STEP * self._req.priority
        return self._core.dialect.priority, b'%d' % min(LAST_RANK, rank)


async def _settled(
    pending: asyncio.Future[live.StopOutcome], patience_s: float
) -> live.StopOutcome:
    """Returns what an order came to, if there is word of it in time.

    A process that is paused wakes to the answer and to the end of its patience
    in the same turn of its loop. The wait is then given up although the answer
    is there, by which a run that was stopped is not lost.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(patience_s):
            await asyncio.shield(pending)
    return pending.result() if pending.done() else live.StopFailure.NO_RESPONSE
