"""Streams of events from upstreams to callers.

A run may go on at another upstream in the middle of its stream. The caller
sees one answer all the same: each event once, in order, and an end only behind
the last.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Iterator
from typing import TYPE_CHECKING

from quetzalsill_gateway import (
    attempt,
    event,
    exchange,
    meter,
    routing_table,
)
from quetzalsill_gateway import dialect as dialect_lib
from quetzalsill_gateway.balance import backup, note
from quetzalsill_gateway.http import error, message
from quetzalsill_gateway.stream import events, live

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway import upstream as upstream_lib
    from quetzalsill_gateway.balance import book
    from quetzalsill_gateway.http import call

__all__ = ['forward']

BAD_GATEWAY = 502
UNAVAILABLE = 503
# An answer that is no stream is a short refusal.
HELD_BYTES = 65_536
UNREACHABLE_TRIES = 3
NOT_RUN = (attempt.Verdict.NOT_RUN, attempt.Verdict.WRONG_UPSTREAM)
# A run that was stopped is resumed within a pause that callers hardly notice,
# or not at all.
SWITCH_S = 1.5
# A last copy on a free link takes a few round trips. Once the run has stopped,
# its first copy lacks the tokens of one copy's time, which are read again in a
# few steps; waiting for a busy link takes longer.
LAST_COPY_S = 0.04
# An engine that is there answers an order to stop within a few round trips.
STOP_S = 0.12
# An engine leaves every few seconds; a run that meets more of them than this
# goes round in circles.
MOST_SWITCHES = 8
# Ranks at the engine, where 0 is the first: the most urgent route gets the
# first of these, and each further rank a step of two, so that 5, which applies
# to who sends none, stands between.
FIRST_RANK = 2
RANK_STEP = 2
LAST_RANK = 9


class OutOfOrderError(error.CallError):
    """An upstream left out events of a stream."""

    code = 'events_missing'


@dataclasses.dataclass(slots=True)
class _Leg:
    """One upstream's part of a stream.

    Attributes:
      upstream: Who makes the events.
      extra: Headers that the gateway sets.
      continues: The run goes on from memory.
      backup: Upstream that gets a copy of the run's memory as it grows.
    """

    upstream: upstream_lib.Upstream
    extra: message.Headers
    continues: bool = False
    backup: upstream_lib.Upstream | None = None


@dataclasses.dataclass(slots=True)
class _Refusal:
    """An answer that is no stream."""

    head: message.ResponseHead
    body: bytes
    verdict: attempt.Verdict


WHOLE = 'whole'
_End = _Refusal | error.CallError | str


async def forward(core: core_lib.Core, req: exchange.Exchange) -> str:
    """Relays a stream; returns its outcome for the log."""
    core.budget.note_request(req.service.name)
    prompt = core.dialect.prompt(req.request.headers)
    stream = live.Stream(req, prompt, live.reserve(prompt))
    req.tokens = stream.reservation.memory_tokens
    if _outlasts_process(core, stream.reservation):
        exchange.refuse(req.responder, UNAVAILABLE, 'stopping', again=True)
        return 'refused'
    try:
        return await _Relay(core, stream).run()
    finally:
        core.live.end(stream)


def _outlasts_process(
    core: core_lib.Core, reservation: book.Reservation
) -> bool:
    """Whether a generation would be cut off by the stop of this gateway.

    Connections come until the balancer has asked twice, and open ones are in
    use until the end. What is refused now begins at another gateway at once.
    """
    if core.ends_at_s is None:
        return False
    now = asyncio.get_running_loop().time()
    return now + core.pages.run_s(reservation) > core.ends_at_s


class _Relay:
    """One stream, leg by leg."""

    def __init__(self, core: core_lib.Core, stream: live.Stream) -> None:
        self._core = core
        self._stream = stream
        self._req = stream.exchange
        self._avoid: frozenset[str] = frozenset()
        self._unreachable = 0
        self._switches = 0
        self._ran = False
        self._source: upstream_lib.Upstream | None = None
        self._handle = ''
        self._late_switch: asyncio.Future[live.Switch | None] | None = None

    async def run(self) -> str:
        """Relays to the end of the stream."""
        leg = await self._first_leg()
        end: _End | None = None
        while leg is not None:
            end = await self._run_leg(leg)
            if end is not WHOLE and not self._is_not_run(end):
                self._ran = True
            switch = await self._switched()
            next_leg = await self._next_leg(leg, end, switch)
            self._log_leg(leg, end, next_leg)
            leg = next_leg
            if end is WHOLE and leg is None:
                self._req.responder.end()
                return 'served'
        return self._answer(end)

    async def _first_leg(self) -> _Leg | None:
        req = self._req
        engine = req.service.engine or routing_table.Engine()
        reservation = self._stream.reservation
        upstream = await self._core.admission.engine(
            req, engine, reservation, self._avoid
        )
        if upstream is None:
            return None
        self._avoid |= {upstream.id}
        needs = reservation.memory_tokens
        note.chosen(self._core, req, upstream, needs)
        return self._leg(upstream, [self._priority()])

    def _leg(
        self,
        upstream: upstream_lib.Upstream,
        extra: message.Headers,
        *,
        continues: bool = False,
    ) -> _Leg:
        """Returns a part of the stream, with a backup if one is worth it."""
        leg = _Leg(upstream, extra, continues)
        stream, req = self._stream, self._req
        engine = req.service.engine
        if engine is None or not engine.backups or req.route.kind.may_repeat:
            return leg
        pages = self._core.pages
        if not backup.is_worthwhile(engine, pages, stream.reservation):
            return leg
        leg.backup = backup.destination(
            self._core.upstreams.of(upstream.service),
            pages,
            upstream,
            engine,
            req.request_id,
            stream.reservation.memory_tokens,
        )
        if leg.backup is not None:
            address = leg.backup.address_text.encode()
            extra.append((self._core.dialect.backup, address))
        return leg

    def _priority(self) -> tuple[bytes, bytes]:
        rank = FIRST_RANK + RANK_STEP * self._req.priority
        return self._core.dialect.priority, b'%d' % min(LAST_RANK, rank)

    async def _run_leg(self, leg: _Leg) -> _End:
        core, stream, req = self._core, self._stream, self._req
        page = core.pages.page(leg.upstream)
        core.live.place(stream, leg.upstream)
        core.live.back_up(stream, leg.backup)
        try:
            async with attempt.opened(
                req,
                leg.upstream,
                core.dialect,
                core.conns,
                leg.extra,
                continues=leg.continues,
            ) as sent:
                if sent.verdict is not attempt.Verdict.SUCCESS:
                    if sent.verdict not in NOT_RUN:
                        page.note_failure()
                    body, _ = await attempt.read_body(sent.conn, HELD_BYTES)
                    return _Refusal(sent.head, body, sent.verdict)
                self._start(sent.head)
                await self._pump(sent.conn)
                page.faults.succeed()
                return WHOLE
        except error.CallError as exc:
            if stream.switch is None and not leg.upstream.leaving:
                page.note_failure()
            return exc

    def _start(self, head: message.ResponseHead) -> None:
        if self._req.responder.started:
            return
        headers = message.relayed(head)
        self._req.responder.start(head.status, headers, None)

    async def _pump(self, conn: call.Conn) -> None:
        splitter = events.Splitter()
        stream, responder = self._stream, self._req.responder
        while data := await conn.read():
            stream.reservation.is_reading = False
            ready = b''.join(self._fresh(splitter.feed(data)))
            if ready:
                self._req.note_event()
                responder.write(ready)
                await responder.drain()
        if splitter.rest and stream.switch is None:
            raise error.TruncatedError('the stream ended within an event')

    def _fresh(self, found: Iterator[events.Event]) -> Iterator[bytes]:
        stream = self._stream
        for piece in found:
            if piece.id is not None:
                if stream.last_id is not None:
                    if piece.id <= stream.last_id:
                        continue
                    if piece.id != stream.last_id + 1:
                        raise OutOfOrderError(
                            f'event {piece.id} came after {stream.last_id}'
                        )
                stream.last_id = piece.id
            yield piece.raw

    async def _switched(self) -> live.Switch | None:
        """Returns how to go on if the run was stopped in order to move."""
        stream = self._stream
        pending, copied = stream.switch, stream.copied
        if pending is None:
            return None
        stream.switch = stream.copied = None
        patience_s = LAST_COPY_S if copied else SWITCH_S
        switch = await self._settled(pending, patience_s)
        if switch is None and copied is not None and not pending.done():
            # The last copy waits for a link that is busy with others.
            self._late_switch = pending
            return copied
        return switch

    async def _settled(
        self, pending: asyncio.Future[live.Switch | None], patience_s: float
    ) -> live.Switch | None:
        try:
            async with asyncio.timeout(patience_s):
                return await asyncio.shield(pending)
        except TimeoutError:
            return None

    async def _next_leg(
        self, leg: _Leg, end: _End, switch: live.Switch | None
    ) -> _Leg | None:
        if switch is not None and self._switches < MOST_SWITCHES:
            self._switches += 1
            self._req.switch_cause = 'move'
            return self._continued(switch.target, switch.source, switch.handle)
        if end is WHOLE:
            return None
        if leg.continues and self._is_not_run(end):
            return await self._after_refused(leg)
        if isinstance(end, error.CallError) and not self._is_not_run(end):
            recovered = await self._recovered(leg)
            if recovered is not None:
                return recovered
        if self._may_send_again(end):
            return await self._again()
        return None

    def _continued(
        self,
        target: upstream_lib.Upstream,
        holder: upstream_lib.Upstream,
        handle: str,
    ) -> _Leg:
        dialect = self._core.dialect
        extra = [
            self._priority(),
            (dialect.memory_from, dialect.memory_source(holder, handle)),
            *self._resume_after(),
        ]
        self._source = holder
        self._handle = handle
        return self._leg(target, extra, continues=True)

    async def _recovered(self, leg: _Leg) -> _Leg | None:
        """Goes on from the backup of a run whose stream broke off.

        The connection may have broken although the engine lives and works on:
        going on elsewhere, the run would be at work twice. So the engine is
        ordered to stop it first. An engine that does not know the run, or that
        cannot be reached, works on it no more as far as anyone can tell.
        """
        target = self._stream.backup
        if target is None or target.gone or self._switches >= MOST_SWITCHES:
            return None
        self._switches += 1
        self._req.switch_cause = 'recovery'
        request = self._req.id_text
        move = dialect_lib.Move()
        try:
            async with asyncio.timeout(STOP_S):
                move = await self._core.calls.move(
                    leg.upstream, request, target, True
                )
        except (error.CallError, TimeoutError):
            pass
        if move.handle:
            where = target if move.copied else leg.upstream
            return self._continued(where, leg.upstream, move.handle)
        return self._continued(target, target, request)

    async def _after_refused(self, leg: _Leg) -> _Leg | None:
        """Goes on elsewhere when the destination did not take the run."""
        pending, self._late_switch = self._late_switch, None
        if pending is not None:
            switch = await self._settled(pending, SWITCH_S)
            if switch is not None:
                return self._continued(
                    switch.target, switch.source, switch.handle
                )
        return self._back_to_source(leg)

    def _back_to_source(self, leg: _Leg) -> _Leg | None:
        """The destination did not take the run: it goes on where it was."""
        if leg.upstream is self._source or self._switches >= MOST_SWITCHES:
            return None
        self._switches += 1
        return self._continued(self._source, self._source, self._handle)

    def _resume_after(self) -> message.Headers:
        last = self._stream.last_id
        if last is None:
            return []
        return [(self._core.dialect.resume_after, b'%d' % last)]

    async def _again(self) -> _Leg | None:
        leg = await self._first_leg()
        if leg is not None and self._stream.last_id is not None:
            leg.extra.extend(self._resume_after())
        return leg

    def _may_send_again(self, end: _End) -> bool:
        req = self._req
        if isinstance(end, error.CallError) and not attempt.may_have_run(end):
            self._unreachable += 1
            return self._unreachable <= UNREACHABLE_TRIES and not self._ran
        if isinstance(end, _Refusal):
            if end.verdict is attempt.Verdict.WRONG_UPSTREAM:
                self._unreachable += 1
                return self._unreachable <= UNREACHABLE_TRIES
            if end.verdict is attempt.Verdict.NOT_RUN:
                return self._has_budget()
        return req.route.kind.may_repeat and self._has_budget()

    def _has_budget(self) -> bool:
        if self._req.sends >= self._req.route.attempts:
            return False
        return self._core.budget.spend(self._req.service.name)

    def _is_not_run(self, end: _End | None) -> bool:
        if isinstance(end, error.CallError):
            return not attempt.may_have_run(end)
        return isinstance(end, _Refusal) and end.verdict in NOT_RUN

    def _answer(self, end: _End | None) -> str:
        responder = self._req.responder
        if responder.started:
            responder.abort()
            return 'cut'
        if not self._ran:
            exchange.refuse(
                responder,
                UNAVAILABLE,
                'not_run',
                again=True,
                come_back_s=self._req.come_back_s,
            )
            return 'refused'
        if (
            isinstance(end, _Refusal)
            and end.verdict is attempt.Verdict.FAILED
            and self._req.sends <= 1
        ):
            headers = message.relayed(end.head)
            responder.reply(end.head.status, headers, end.body)
            return 'upstream_failed'
        exchange.refuse(responder, BAD_GATEWAY, 'upstream_failed')
        return 'failed'

    def _log_leg(self, leg: _Leg, end: _End, next_leg: _Leg | None) -> None:
        meter.attempts.inc({'result': _describe(end)})
        event.note(
            event.LegEnded(
                request=self._req.id_text,
                upstream=leg.upstream.id,
                leaving=leg.upstream.leaving,
                continued=leg.continues,
                result=_describe(end),
                last_event=self._stream.last_id,
                next=next_leg.upstream.id if next_leg else '',
                backup=leg.backup.id if leg.backup else '',
            )
        )


def _describe(end: _End) -> str:
    if isinstance(end, error.CallError):
        return end.code
    if isinstance(end, _Refusal):
        return f'{end.verdict.value}_{end.head.status}'
    return end
