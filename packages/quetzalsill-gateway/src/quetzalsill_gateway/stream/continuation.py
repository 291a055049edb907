"""Decides where a run resumes after a segment of its stream has ended.

A segment ends because the run was stopped to be moved, because its engine
crashed or shut down, or because a destination did not accept the run. A run
resumes elsewhere only if it has certainly ended at its previous engine.
Otherwise it could run on two engines at once: the work would be done twice, and
the caller might receive events of both.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from quetzalsill_gateway import at_most_once, event
from quetzalsill_gateway.balance import backup
from quetzalsill_gateway.fleet import software_versions
from quetzalsill_gateway.http import error
from quetzalsill_gateway.stream import live, stop
from quetzalsill_gateway.stream import segment as segment_lib

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.http import message

__all__ = ['Continuation']

MS_PER_S = 1000
# A stopped run is resumed within a pause that callers hardly notice, or not at
# all.
STOP_TIMEOUT_S = 1.5
# The final copy takes a few round trips on an idle link. If the link is busy,
# it is faster to resume from the first copy and to recompute, in a few steps,
# the tokens that were generated while it was made.
FINAL_COPY_TIMEOUT_S = 0.04
# An engine leaves every few seconds; a run that switches more often than this
# is being moved in circles.
MAX_SWITCHES = 8
# Priorities at the engine, where 0 is the most urgent. The most urgent route
# gets the first of these and each further level is one step lower, so that the
# engine's default of 5 lies between two levels.
FIRST_PRIORITY = 2
PRIORITY_STEP = 2
LAST_PRIORITY = 9


class Continuation:
    """Decides where the run of one stream resumes, and creates its segments."""

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
        """Returns the segment of a run that has not started yet."""
        return self._new_segment(upstream, [self._priority()], grounds)

    async def next_segment(
        self, segment: segment_lib.Segment, outcome: segment_lib.Outcome
    ) -> segment_lib.Segment | None:
        """Returns the segment in which the run resumes, None if it does not.

        A run may complete while a stop command is in progress. If it were
        treated as stopped, it would be sent to a destination that has already
        dropped the copy, and a caller that has the complete response would be
        disconnected.
        """
        if outcome is segment_lib.COMPLETE and segment.is_framed:
            return None
        precopy = self._stream.precopy
        stopped = await self._stop_outcome(segment, outcome)
        # If the response is delimited by its connection, its end does not show
        # whether the run is complete.
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

    def may_run_at(self, upstream: upstream_lib.Upstream) -> bool:
        """Whether the software version of an upstream may go on with it."""
        versions = self._core.upstreams.versions
        return versions.may_continue(self._stream.origin, upstream)

    def resume_headers(self) -> message.Headers:
        """Returns the headers with the id of the last event the caller has."""
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
        """Returns the result of the stop command for a segment, if any.

        A command may be answered late, after the run has resumed from its
        backup because the connection broke. The run has continued without the
        copy that the answer names, and resuming from it would repeat work.

        An engine closes the stream of a run that it stops. A stream that was
        reset broke for another reason: the engine may still be working on the
        run, and reject the command or never receive it. Only its answer counts
        then.
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
            # The final copy is waiting for a busy link.
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
        """Resumes a run whose stream was interrupted, if this is safe.

        The connection may have broken while the engine is alive and still
        working on the run. If the run resumed elsewhere, two engines would
        work on it. So the engine is told to stop it first.

        Args:
          segment: The segment that was interrupted.
          precopy: First copy of a move that has not made its final copy.
        """
        # Otherwise the move would release the copy once it finds that the run
        # has left its source.
        self._stream.precopy = None
        if precopy is not None and precopy.source is not segment.upstream:
            precopy = None
        target = precopy.target if precopy else self._stream.backup
        if target is None or target.removed:
            return None
        if not self.may_run_at(target):
            return None
        request = self._req.id_text
        calls = self._core.calls
        stopped = await stop.stop(calls, segment.upstream, request, target)
        grounds = at_most_once.grounds_to_resume(
            stopped.state, segment.active_s, has_copy=precopy is not None
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
                source_version=segment.upstream.software_version,
                target_version=target.software_version,
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
        """Resumes elsewhere after the destination rejected the run."""
        pending, self._late_stop = self._late_stop, None
        if pending is not None:
            late_outcome = await _wait_for_outcome(pending, STOP_TIMEOUT_S)
            if isinstance(late_outcome, live.ResumePoint):
                return self._resume_from(late_outcome)
        return self._back_to_source()

    def _back_to_source(self) -> segment_lib.Segment | None:
        """Resumes at the source after the destination rejected the run."""
        source = self._source
        if self._stream.upstream is source or not self._count_switch('move'):
            return None
        return self._resume_from(live.ResumePoint(source, source, self._handle))

    def _resume_from(
        self, resume_point: live.ResumePoint
    ) -> segment_lib.Segment:
        """Resumes from a copy that an engine has confirmed."""
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
        extra_headers = [
            self._priority(),
            (dialect.kv_from, dialect.format_kv_from(holder, handle)),
            *self.resume_headers(),
        ]
        self._source = holder
        self._handle = handle
        # A stop command sent in the meantime is for the previous upstream.
        self._stream.pending_stop = None
        return self._new_segment(target, extra_headers, grounds)

    def _new_segment(
        self,
        upstream: upstream_lib.Upstream,
        extra_headers: message.Headers,
        grounds: at_most_once.Grounds,
    ) -> segment_lib.Segment:
        """Returns a segment, with a backup if that is worthwhile."""
        segment = segment_lib.Segment(upstream, extra_headers, grounds)
        stream, req, stats_table = (
            self._stream,
            self._req,
            self._core.stats_table,
        )
        engine = req.service.engine
        if (
            engine is None
            or not engine.can_back_up
            or req.route.kind.may_repeat
        ):
            return segment
        if not backup.is_worthwhile(
            engine, stats_table, stream.reservation, upstream
        ):
            return segment
        available = self._core.upstreams.available(
            upstream.service, req.regions
        )
        origin = self._stream.origin or software_versions.origin_of(upstream)
        may_continue = self._core.upstreams.versions.may_continue
        segment.backup = backup.destination(
            (
                one
                for one in available
                if may_continue(origin, one)
                and not self._core.backoffs.is_pausing(one)
            ),
            stats_table,
            upstream,
            engine,
            req.request_id,
            stream.reservation.memory_tokens,
        )
        if segment.backup is not None:
            address = segment.backup.address_text.encode()
            extra_headers.append((self._core.dialect.backup, address))
        return segment

    def _priority(self) -> tuple[bytes, bytes]:
        priority = FIRST_PRIORITY + PRIORITY_STEP * self._req.priority
        return self._core.dialect.priority, b'%d' % min(LAST_PRIORITY, priority)


async def _wait_for_outcome(
    pending: asyncio.Future[live.StopOutcome], timeout_s: float
) -> live.StopOutcome:
    """Returns the result of a stop command, if it arrives in time.

    After a pause of this process, the answer and the timeout may both be due in
    the same iteration of the event loop. The wait is then cancelled although
    the answer has arrived. The result is used in this case too, as the stopped
    run would otherwise be lost.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await asyncio.shield(pending)
    return pending.result() if pending.done() else live.StopFailure.NO_RESPONSE
