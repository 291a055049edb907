"""Moves the runs of an engine that leaves to others, with their memory.

An engine that is taken away serves on for a second or two after its notice,
and runs last longer. Each run is first copied while it goes on; once all
copies are through the engine's link, which they share one after another, each
run is stopped, the little that is new is copied, and the run goes on at its
destination. Stopped before the link is free, it would wait behind the copies
of others, which its caller sees as a pause.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill.telemetry import log
from quetzalsill_gateway.balance import book, choose
from quetzalsill_gateway.http import error
from quetzalsill_gateway.stream import live

if TYPE_CHECKING:
    from quetzalsill_gateway import dialect as dialect_lib
    from quetzalsill_gateway import gateway, routing_table
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
COPY_S = 1.0
# What the last copy and the start at the destination take at most.
LAST_S = 0.3
SLACK_S = 0.05
# Some copies cross into another availability zone, which takes twice as long.
CROSSING = 1.5
RETRY_S = 0.08
BITS = 8
MBPS = 1e6
DESTINATIONS = 3

logger = log.get(__name__)


class Evacuation:
    """Moves runs away from engines that leave."""

    def __init__(self, core: gateway.Core) -> None:
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
        if source.gone and not self._core.live.of(source):
            return
        self._running.add(source.id)
        self._spawn(self._evacuate(source, engine))

    def _engine(
        self, source: upstream_lib.Upstream
    ) -> routing_table.Engine | None:
        table = self._core.holder.current
        service = table.services.get(source.service) if table else None
        return service.engine if service else None

    def _spawn(self, work: asyncio.coroutines.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _evacuate(
        self, source: upstream_lib.Upstream, engine: routing_table.Engine
    ) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        try:
            if not self._core.live.of(source):
                return
            last_at_s = begun_s + await self._copy_time(source, engine)
            self._spawn(self._ask_again(source))
            while loop.time() < begun_s + SEARCH_S:
                for stream in self._waiting(source):
                    self._moving.add(stream)
                    self._spawn(
                        self._move(stream, source, engine, begun_s, last_at_s)
                    )
                await asyncio.sleep(SEARCH_EVERY_S)
                if not self._core.live.of(source):
                    return
        finally:
            self._running.discard(source.id)

    def _waiting(self, source: upstream_lib.Upstream) -> list[live.Stream]:
        streams = self._core.live.of(source)
        streams = [s for s in streams if s not in self._moving]
        return sorted(streams, key=lambda s: -s.reservation.memory_tokens)

    async def _copy_time(
        self, source: upstream_lib.Upstream, engine: routing_table.Engine
    ) -> float:
        """Returns how long the copies of all gateways take, in seconds."""
        report = await self._report(source)
        if report is None:
            return COPY_S
        tokens = sum(run.tokens for run in report.runs)
        bits = tokens * engine.token_bytes * BITS
        copy_s = CROSSING * bits / (engine.link_mbps * MBPS) + SLACK_S
        logger.info(
            'evacuation_started',
            upstream=source.id,
            runs=len(report.runs),
            own=len(self._core.live.of(source)),
            tokens=tokens,
            leaves_s=report.leaves_s,
            last_after_s=round(copy_s, 3),
        )
        return copy_s

    async def _move(
        self,
        stream: live.Stream,
        source: upstream_lib.Upstream,
        engine: routing_table.Engine,
        begun_s: float,
        last_at_s: float,
    ) -> None:
        try:
            target = await self._copy(stream, source, engine)
            if target is None:
                return
            await self._until_last(source, begun_s, last_at_s)
            await self._stop(stream, source, target)
        finally:
            self._moving.discard(stream)

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
            logger.info('report_failed', upstream=source.id, reason=repr(exc))
            return None
        logger.info(
            'report_read',
            upstream=source.id,
            leaving=report.leaving,
            leaves_s=report.leaves_s,
            runs=len(report.runs),
        )
        self._core.pages.page(source).note_leaving(report.leaves_s)
        return report

    async def _until_last(
        self,
        source: upstream_lib.Upstream,
        begun_s: float,
        last_at_s: float,
    ) -> None:
        """Waits until the copies are through, or the engine is about to go."""
        loop = asyncio.get_running_loop()
        page = self._core.pages.page(source)
        while True:
            until_s = last_at_s
            leaves_at_s = page.leaves_at_s or begun_s + LEAST_NOTICE_S
            until_s = min(until_s, leaves_at_s - LAST_S)
            left_s = until_s - loop.time()
            if left_s <= 0:
                return
            # The time at which it goes may become known meanwhile.
            await asyncio.sleep(min(left_s, SEARCH_EVERY_S))

    async def _copy(
        self,
        stream: live.Stream,
        source: upstream_lib.Upstream,
        engine: routing_table.Engine,
    ) -> upstream_lib.Upstream | None:
        """Copies a run while it goes on; returns where it is now."""
        targets = choose.destinations(
            self._core.upstreams.of(source.service),
            self._core.pages,
            source,
            engine,
            stream.exchange.request_id,
            stream.reservation.memory_tokens,
        )
        for target in targets[:DESTINATIONS]:
            held = self._core.pages.page(target).reservations
            held.add(stream.reservation)
            move = await self._order(stream, source, target, last=False)
            if move is not None and move.copied:
                return target
            if stream.upstream is not target:
                held.discard(stream.reservation)
            if move is None or move.unknown_run or stream.ended:
                # It waits for its turn still, or has just ended.
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
        held = self._core.pages.page(target).reservations
        if stream.ended or stream.upstream is not source:
            held.discard(stream.reservation)
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
            held.discard(stream.reservation)

    async def _order(
        self,
        stream: live.Stream,
        source: upstream_lib.Upstream,
        target: upstream_lib.Upstream,
        *,
        last: bool,
    ) -> dialect_lib.Move | None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        request = stream.exchange.id_text
        move = None
        failure = ''
        try:
            move = await self._core.calls.move(source, request, target, last)
        except error.CallError as exc:
            failure = exc.code
        logger.info(
            'run_moved' if last else 'run_copied',
            request=request,
            source=source.id,
            target=target.id,
            copied=move.copied if move else False,
            unknown_run=move.unknown_run if move else False,
            events=move.events if move else 0,
            last_event=stream.last_id,
            failure=failure,
            took_ms=round((loop.time() - begun_s) * 1000, 1),
        )
        return move
