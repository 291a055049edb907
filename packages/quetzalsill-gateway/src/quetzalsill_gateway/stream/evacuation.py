"""Moves the runs of an engine that leaves to others, with their memory.

An engine that is taken away serves on for a second or two after its notice,
and runs last longer. Each run is first copied while it goes on; once all
copies are through the engine's link, which they share one after another, each
run is stopped, the little that is new is copied, and the run goes on at its
destination. Stopped before the link is free, it would wait behind the copies
of others, which its caller sees as a pause.

Streams that may be resumed are left where they are: they are short, and
whatever breaks off is sent again.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Coroutine
from typing import TYPE_CHECKING

from quetzalsill_gateway import event, meter
from quetzalsill_gateway.balance import book, choose
from quetzalsill_gateway.http import error
from quetzalsill_gateway.stream import live, schedule

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway import dialect as dialect_lib
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway import upstream as upstream_lib

__all__ = ['Evacuation']

# How long after its notice an engine is searched for runs to move.
SEARCH_S = 2.5
SEARCH_EVERY_S = 0.1
REPORT_S = 0.3
# A notice is in an engine's report this long after it was given.
NOTICE_S = book.REPORT_AGE_S + 0.05
# Shortest notice given; an engine that does not say when it goes is taken to
# go then.
LEAST_NOTICE_S = 1.45
# What the last copies and the starts at the destinations take at most.
LAST_S = 0.3
# A run that could not be copied ahead is stopped after those that were.
UNFIT_S = 0.1
# Some copies cross into another availability zone, which takes twice as long.
CROSSING = 1.4
SLACK_S = 0.05
RETRY_S = 0.08
DESTINATIONS = 3
# Copies are ordered this much ahead of their turn at the link, which must not
# run dry; ordered all at once, they would choose by the same figures and meet
# at the same destination.
EARLY_SHARE = 0.7
ROOM_EVERY_S = 0.05


@dataclasses.dataclass(slots=True)
class _Departure:
    """An engine that leaves.

    Attributes:
      source: The engine.
      engine: What engines of its service have.
      begun_s: Loop time at which its leaving was learned.
      turns: When from then on each run is copied, by request.
      page: What is known of the engine.
    """

    source: upstream_lib.Upstream
    engine: routing_table.Engine
    begun_s: float
    turns: dict[str, schedule.Turn]
    page: book.Page

    @property
    def last_at_s(self) -> float:
        """Loop time at which runs are stopped."""
        ends_s = (turn.end_s for turn in self.turns.values())
        copied_s = CROSSING * max(ends_s, default=0.0) + SLACK_S
        return min(self.begun_s + copied_s, self.bound_s)

    @property
    def bound_s(self) -> float:
        """Loop time at which runs are stopped at the latest."""
        leaves_at_s = self.page.leaves_at_s or self.begun_s + LEAST_NOTICE_S
        return leaves_at_s - LAST_S

    def fits(self, request_id: str) -> bool:
        """Whether a run can be copied before the engine goes."""
        return self.begun_s + self.turn(request_id).end_s <= self.bound_s

    def turn(self, request_id: str) -> schedule.Turn:
        """Returns the turn of a run; it is at once if it began of late."""
        return self.turns.get(request_id, schedule.Turn())


class Evacuation:
    """Moves runs away from engines that leave."""

    def __init__(self, core: core_lib.Core) -> None:
        self._core = core
        self._running: set[str] = set()
        self._moving: set[live.Stream] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        core.live.on_placed_while_leaving(self.start)

    def start(self, source: upstream_lib.Upstream) -> None:
        """Starts to move the runs of an engine, unless that goes on already."""
        engine = self._engine(source)
        if engine is None or not engine.moves or source.id in self._running:
            return
        if not self._core.live.of(source):
            return
        self._running.add(source.id)
        self._spawn(self._evacuate(source, engine))

    def _engine(
        self, source: upstream_lib.Upstream
    ) -> routing_table.Engine | None:
        table = self._core.holder.current
        service = table.services.get(source.service) if table else None
        return service.engine if service else None

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _evacuate(
        self, source: upstream_lib.Upstream, engine: routing_table.Engine
    ) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        try:
            report = await self._report(source)
            turns = schedule.turns(report.runs, engine) if report else {}
            page = self._core.pages.page(source)
            departure = _Departure(source, engine, begun_s, turns, page)
            self._note_start(departure)
            self._spawn(self._ask_again(source))
            while loop.time() < begun_s + SEARCH_S:
                for stream in self._waiting(source):
                    self._moving.add(stream)
                    self._spawn(self._move(stream, departure))
                await asyncio.sleep(SEARCH_EVERY_S)
                if not self._core.live.of(source):
                    return
        finally:
            self._running.discard(source.id)

    def _note_start(self, departure: _Departure) -> None:
        last_after_s = departure.last_at_s - departure.begun_s
        event.note(
            event.EvacuationStarted(
                upstream=departure.source.id,
                runs=len(departure.turns),
                own=len(self._core.live.of(departure.source)),
                last_after_ms=round(last_after_s * 1000, 1),
            )
        )

    def _waiting(self, source: upstream_lib.Upstream) -> list[live.Stream]:
        """Returns the runs to move: those that no backup protects."""
        return [
            stream
            for stream in self._core.live.of(source)
            if stream not in self._moving
            and not stream.exchange.route.kind.may_repeat
            and (stream.backup is None or stream.backup.leaving)
        ]

    async def _ask_again(self, source: upstream_lib.Upstream) -> None:
        """Asks when the engine goes, once its report has caught up."""
        await asyncio.sleep(NOTICE_S)
        await self._report(source)

    async def _report(
        self, source: upstream_lib.Upstream
    ) -> dialect_lib.Report | None:
        try:
            async with asyncio.timeout(REPORT_S):
                report = await self._core.calls.report(source)
        except (error.CallError, TimeoutError) as exc:
            event.note(event.ReportFailed(source.id, repr(exc)))
            return None
        self._core.pages.page(source).note_leaving(report.leaves_s)
        return report

    async def _move(self, stream: live.Stream, departure: _Departure) -> None:
        try:
            target = await self._copy_ahead(stream, departure)
            if target is not None:
                await self._stop(stream, departure.source, target)
        finally:
            self._moving.discard(stream)

    async def _copy_ahead(
        self, stream: live.Stream, departure: _Departure
    ) -> upstream_lib.Upstream | None:
        """Copies a run as long as time is left; returns where it goes on."""
        request = stream.exchange.id_text
        if not departure.fits(request):
            # When the engine goes may become known, and leave it time yet.
            await _until(departure.begun_s + NOTICE_S + SLACK_S)
        if not departure.fits(request):
            await _until(departure.bound_s + UNFIT_S)
            return next(iter(self._targets(stream, departure)), None)
        start_s = departure.turn(request).start_s
        await _until(departure.begun_s + EARLY_SHARE * start_s)
        await self._wait_for_room(stream, departure)
        target = await self._copy(stream, departure)
        while target is not None and _now() < departure.last_at_s:
            # The time at which the engine goes may become known meanwhile.
            left_s = departure.last_at_s - _now()
            await asyncio.sleep(min(left_s, SEARCH_EVERY_S))
        return target

    async def _wait_for_room(
        self, stream: live.Stream, departure: _Departure
    ) -> None:
        """Waits until an engine has room, while time is left for the copy.

        Engines that are full to the last run will push one off for it, and
        most runs end within seconds.
        """
        turn = departure.turn(stream.exchange.id_text)
        copy_s = CROSSING * (turn.end_s - turn.start_s)
        needs = stream.reservation.memory_tokens
        while _now() < departure.bound_s - copy_s and not stream.ended:
            for target in self._targets(stream, departure)[:1]:
                page = self._core.pages.page(target)
                if choose.has_room(page, departure.engine, needs):
                    return
            await asyncio.sleep(ROOM_EVERY_S)

    def _targets(
        self, stream: live.Stream, departure: _Departure
    ) -> list[upstream_lib.Upstream]:
        found = choose.destinations(
            self._core.upstreams.of(departure.source.service),
            self._core.pages,
            departure.source,
            departure.engine,
            stream.exchange.request_id,
            stream.reservation.memory_tokens,
        )
        return found[:DESTINATIONS]

    async def _copy(
        self, stream: live.Stream, departure: _Departure
    ) -> upstream_lib.Upstream | None:
        """Copies a run while it goes on; returns where it is now."""
        source = departure.source
        for target in self._targets(stream, departure):
            if stream.ended or stream.upstream is not source:
                return None
            self._core.live.hold(stream, target)
            move = await self._order(stream, source, target, last=False)
            if move is not None and move.copied:
                return target
            self._core.live.release(stream, target)
            if move is None or move.unknown_run:
                # It waits for its turn at the engine, or has just ended.
                await asyncio.sleep(RETRY_S)
                return None
        return None

    async def _stop(
        self,
        stream: live.Stream,
        source: upstream_lib.Upstream,
        target: upstream_lib.Upstream,
    ) -> None:
        """Stops a run at its source so that it goes on at the target."""
        if stream.ended or stream.upstream is not source:
            self._core.live.release(stream, target)
            return
        switched = asyncio.get_running_loop().create_future()
        stream.switch = switched
        move = await self._order(stream, source, target, last=True)
        result = None
        if move is not None and move.handle:
            where = target if move.copied else source
            result = live.Switch(source, where, move.handle)
        if not switched.done():
            switched.set_result(result)
        if result is None and stream.switch is switched:
            stream.switch = None
        if result is None or result.target is not target:
            self._core.live.release(stream, target)

    async def _order(
        self,
        stream: live.Stream,
        source: upstream_lib.Upstream,
        target: upstream_lib.Upstream,
        *,
        last: bool,
    ) -> dialect_lib.Move | None:
        begun_s = _now()
        request = stream.exchange.id_text
        move = None
        failure = ''
        try:
            move = await self._core.calls.move(source, request, target, last)
        except error.CallError as exc:
            failure = exc.code
        took_s = _now() - begun_s
        meter.moves.observe({'last': str(last).lower()}, took_s)
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
                took_ms=round(took_s * 1000, 1),
            )
        )
        return move


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _until(at_s: float) -> None:
    await asyncio.sleep(max(0.0, at_s - _now()))
