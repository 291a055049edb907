"""Live migration of runs, with their KV caches, off engines that shut down.

An engine keeps serving for 1 to 2 s after its shutdown notice, and many runs
take longer than that. Runs are moved one at a time: the KV cache is copied
while the run continues, the run is stopped, the tokens generated since are
copied, and the run resumes at its destination. `stream.link_queue` defines the
order. A run that cannot be moved before the engine shuts down is skipped,
because its copy would only delay the others.

Runs with a backup at a second engine resume from it after the shutdown
(`balance.backup`). Resumable streams are not moved: they are short, and one
that is interrupted is sent again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import TYPE_CHECKING

from quetzalsill_gateway import attempt, event, meter
from quetzalsill_gateway.balance import choose, pace, upstream_stats
from quetzalsill_gateway.fleet import software_versions
from quetzalsill_gateway.http import error
from quetzalsill_gateway.stream import leaving_engine, live

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway import dialect as dialect_lib
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['Migration']

# Time after the notice during which new runs on the engine are looked for.
SEARCH_DURATION_S = 2.5
SEARCH_INTERVAL_S = 0.05
REPORT_TIMEOUT_S = 0.3
# Delay until an engine's report includes a notice that was just given.
NOTICE_DELAY_S = upstream_stats.MAX_REPORT_AGE_S + 0.05
# A move that exceeds its estimated duration by this no longer blocks others.
MOVE_SLACK_S = 0.15
# Gateways learn of a leaving engine, and of each other's runs on it, within a
# few round trips.
PROPAGATION_S = 0.02
# Short compared with the duration of a copy.
TURN_POLL_INTERVAL_S = 0.005
RETRY_DELAY_S = 0.08
MAX_DESTINATIONS = 3


class Migration:
    """Moves runs off engines that are about to shut down."""

    def __init__(self, core: core_lib.Core) -> None:
        self._core = core
        self._migrating: set[str] = set()
        self._moving: set[live.Stream] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        core.live.on_placed_while_leaving(self.start)

    def start(self, source: upstream_lib.Upstream) -> None:
        """Starts moving the runs of an engine, unless this is in progress."""
        spec = self._engine_spec(source)
        if spec is None or not spec.can_move or source.key in self._migrating:
            return
        if not self._core.live.of(source):
            return
        self._migrating.add(source.key)
        self._spawn(self._migrate(source, spec))

    def _engine_spec(
        self, source: upstream_lib.Upstream
    ) -> routing_table.Engine | None:
        table = self._core.holder.current
        service = table.services.get(source.service) if table else None
        return service.engine if service else None

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _migrate(
        self, source: upstream_lib.Upstream, spec: routing_table.Engine
    ) -> None:
        started_s = attempt.now()
        try:
            report = await self._fetch_report(source)
            runs = report.runs if report else ()
            tokens = {run.request_id: run.tokens for run in runs}
            stats = self._core.stats_table.of(source)
            leaving = leaving_engine.LeavingEngine(
                source, spec, started_s, stats, tokens
            )
            self._log_start(leaving)
            self._spawn(self._refresh_report(source))
            while attempt.now() < started_s + SEARCH_DURATION_S:
                for stream in self._unprotected(source):
                    self._moving.add(stream)
                    self._spawn(self._move(stream, leaving))
                await asyncio.sleep(SEARCH_INTERVAL_S)
                if not self._core.live.of(source):
                    return
        finally:
            self._migrating.discard(source.key)
            self._core.link_queue.forget(source.key)

    def _log_start(self, leaving: leaving_engine.LeavingEngine) -> None:
        remaining_s = leaving.leaves_at_s - leaving.noticed_at_s
        source = leaving.upstream
        event.note(
            event.MigrationStarted(
                upstream=source.id,
                runs=len(leaving.reported_tokens),
                own=len(self._core.live.of(source)),
                unprotected=len(self._unprotected(source)),
                left_ms=round(remaining_s * 1000, 1),
            )
        )

    def _unprotected(self, source: upstream_lib.Upstream) -> list[live.Stream]:
        """Returns the runs that would be lost if they were not moved.

        A run without any event may still be queued for admission, and has no
        KV cache to move.
        """
        return [
            stream
            for stream in self._core.live.of(source)
            if stream not in self._moving
            and not stream.exchange.route.kind.may_repeat
            and stream.last_id is not None
            and (stream.backup is None or stream.backup.leaving)
        ]

    async def _refresh_report(self, source: upstream_lib.Upstream) -> None:
        """Updates the shutdown time once the report includes the notice."""
        await asyncio.sleep(NOTICE_DELAY_S)
        await self._fetch_report(source)

    async def _fetch_report(
        self, source: upstream_lib.Upstream
    ) -> dialect_lib.Report | None:
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await self._core.calls.report(source)
        except (error.CallError, TimeoutError) as exc:
            event.note(event.ReportFailed(source.id, repr(exc)))
            return None
        upstreams = self._core.upstreams
        if not upstreams.verify_incarnation(source, report.incarnation):
            return None
        self._core.stats_table.of(source).record_time_left(report.leaving_in_s)
        return report

    async def _move(
        self, stream: live.Stream, leaving: leaving_engine.LeavingEngine
    ) -> None:
        """Moves a run when its turn comes, if there is enough time left."""
        source, request = leaving.upstream, stream.exchange.id_text
        queue = self._core.link_queue
        queue.add(source.key, request, leaving.memory_tokens(stream))
        self._core.live.notify_changed(is_urgent=True)
        try:
            if not await self._wait_for_turn(stream, leaving):
                return
            queue.start(source.key, request)
            self._core.live.notify_changed(is_urgent=True)
            target = await self._precopy(stream, leaving)
            if target is not None:
                await self._stop_at_source(stream, source, target)
        finally:
            queue.remove(source.key, request)
            self._core.live.notify_changed(is_urgent=True)
            # Destinations that are full now may have room on the next attempt.
            await asyncio.sleep(RETRY_DELAY_S)
            self._moving.discard(stream)

    async def _wait_for_turn(
        self, stream: live.Stream, leaving: leaving_engine.LeavingEngine
    ) -> bool:
        """Waits for a run's turn; returns whether it still has to be moved."""
        source, request = leaving.upstream, stream.exchange.id_text
        queue = self._core.link_queue
        timeout_s = leaving.move_s(stream) + MOVE_SLACK_S
        await asyncio.sleep(PROPAGATION_S)
        while not queue.is_next(source.key, request, attempt.now(), timeout_s):
            if self._has_moved(stream, source):
                return False
            if attempt.now() > leaving.leaves_at_s:
                return False
            await asyncio.sleep(TURN_POLL_INTERVAL_S)
        return not self._has_moved(stream, source)

    def _has_moved(
        self, stream: live.Stream, source: upstream_lib.Upstream
    ) -> bool:
        return stream.ended or stream.upstream is not source

    def _destinations(
        self, stream: live.Stream, leaving: leaving_engine.LeavingEngine
    ) -> list[upstream_lib.Upstream]:
        """Returns destinations that a move can reach before the shutdown."""
        source = leaving.upstream
        upstreams = self._core.upstreams.available(
            source.service, stream.exchange.regions
        )
        may_continue = self._core.upstreams.versions.may_continue
        origin = stream.origin or software_versions.origin_of(source)
        able = [one for one in upstreams if may_continue(origin, one)]
        candidates = choose.rank_destinations(
            filter(self._core.quota.allows, able),
            self._core.stats_table,
            source,
            leaving.spec,
            stream.exchange.request_id,
            stream.reservation.memory_tokens,
            lambda target: self._is_match(stream, target),
        )
        remaining_s = leaving.leaves_at_s - attempt.now()
        zone = source.availability_zone
        return [
            target
            for target in candidates[:MAX_DESTINATIONS]
            if remaining_s
            >= leaving.move_s(
                stream, cross_zone=target.availability_zone != zone
            )
        ]

    def _is_match(
        self, stream: live.Stream, target: upstream_lib.Upstream
    ) -> bool:
        """Whether an engine is fast enough for a run, by its whole length."""
        req, table = stream.exchange, self._core.stats_table
        max_gap_s = req.route.max_gap_s
        speeds = self._core.engine_speeds
        if not pace.is_needed(speeds, target.service, max_gap_s):
            return True
        if req.widest_gap_s > max_gap_s:
            # It is late already.
            return True
        work = pace.Work(max_gap_s, table.generation_s(stream.reservation), 0.0)
        assessor = pace.Assessor(speeds, target.service, work)
        return assessor.assess(target, table.of(target).runs).is_match

    async def _precopy(
        self, stream: live.Stream, leaving: leaving_engine.LeavingEngine
    ) -> upstream_lib.Upstream | None:
        """Copies a run while it continues; returns the engine with the copy."""
        source = leaving.upstream
        for target in self._destinations(stream, leaving):
            if self._has_moved(stream, source):
                return None
            self._core.quota.consume(target)
            self._core.live.hold(stream, target)
            move = await self._request_move(stream, source, target, last=False)
            if move is not None and move.copied:
                stream.precopy = live.ResumePoint(source, target, move.handle)
                return target
            self._core.live.release(stream, target)
            if move is None or move.unknown_run:
                return None
        return None

    async def _stop_at_source(
        self,
        stream: live.Stream,
        source: upstream_lib.Upstream,
        target: upstream_lib.Upstream,
    ) -> None:
        """Stops a run at its source so that it can resume at the target."""
        if self._has_moved(stream, source):
            self._core.live.release(stream, target)
            precopy, stream.precopy = stream.precopy, None
            if precopy is not None:
                await self._release_copy(source, precopy.handle)
            return
        pending_stop = asyncio.get_running_loop().create_future()
        stream.pending_stop = pending_stop
        move = await self._request_move(stream, source, target, last=True)
        result = _stop_outcome(source, target, move)
        if not pending_stop.done():
            pending_stop.set_result(result)
        if (
            result is live.StopFailure.NOT_STOPPED
            and stream.pending_stop is pending_stop
        ):
            stream.pending_stop = None
        resumes_at_target = (
            isinstance(result, live.ResumePoint) and result.target is target
        )
        if not resumes_at_target or stream.ended:
            self._core.live.release(stream, target)
        if stream.ended and isinstance(result, live.ResumePoint):
            # The caller disconnected meanwhile, so the copy will not be used.
            await self._release_copy(source, result.handle)

    async def _release_copy(
        self, engine: upstream_lib.Upstream, handle: str
    ) -> None:
        """Releases a copy that will not be used.

        Otherwise it occupies memory at its destination until it expires
        several seconds later.
        """
        if not handle:
            return
        try:
            await self._core.calls.release(engine, handle)
        except error.CallError as exc:
            event.note(event.CopyNotFreed(engine.id, handle, exc.code))

    async def _request_move(
        self,
        stream: live.Stream,
        source: upstream_lib.Upstream,
        target: upstream_lib.Upstream,
        *,
        last: bool,
    ) -> dialect_lib.MoveResult | None:
        started_s = attempt.now()
        request = stream.exchange.id_text
        move = None
        failure = ''
        try:
            move = await self._core.calls.move(source, request, target, last)
        except error.CallError as exc:
            failure = exc.code
        duration_s = attempt.now() - started_s
        meter.moves.observe({'last': str(last).lower()}, duration_s)
        event.note(
            event.RunOrdered(
                request=request,
                source=source.id,
                target=target.id,
                last=last,
                copied=move.copied if move else False,
                unknown_run=move.unknown_run if move else False,
                events=move.events if move else 0,
                last_event=stream.last_id,
                answer=failure or (move.code if move else ''),
                took_ms=round(duration_s * 1000, 1),
            )
        )
        return move


def _stop_outcome(
    source: upstream_lib.Upstream,
    target: upstream_lib.Upstream,
    move: dialect_lib.MoveResult | None,
) -> live.StopOutcome:
    """Converts the response to a stop command, None if there was none."""
    if move is None:
        return live.StopFailure.NO_RESPONSE
    if not move.handle:
        return live.StopFailure.NOT_STOPPED
    resume_at = target if move.copied else source
    return live.ResumePoint(source, resume_at, move.handle)
