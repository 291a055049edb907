"""Relays event streams from upstreams to callers.

A run may move to another upstream in the middle of its stream. The caller still
receives a single response: each event once, in order, and the end of the
response only after the last event.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from quetzalsill_gateway import (
    at_most_once,
    attempt,
    event,
    exchange,
    meter,
    routing_table,
)
from quetzalsill_gateway.balance import choice_log
from quetzalsill_gateway.fleet import software_versions
from quetzalsill_gateway.http import error, message
from quetzalsill_gateway.stream import (
    continuation,
    events,
    gap_sampler,
    live,
    resumption,
)
from quetzalsill_gateway.stream import segment as segment_lib

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway.http import call

__all__ = ['forward']

BAD_GATEWAY = 502
UNAVAILABLE = 503
# A response other than a stream is a short refusal.
MAX_REFUSAL_BYTES = 65_536
MAX_UNREACHABLE_RETRIES = 3


class OutOfOrderError(error.CallError):
    """An upstream skipped events of a stream."""

    code = 'events_missing'


async def forward(core: core_lib.Core, req: exchange.Exchange) -> str:
    """Relays a stream and returns its outcome for the log."""
    start = await resumption.resolve(core, req)
    core.budget.record_request(req.service.name)
    if isinstance(start, resumption.Refused):
        exchange.refuse(
            req.responder,
            UNAVAILABLE,
            start.reason,
            may_retry=True,
            retry_after_s=start.retry_after_s,
        )
        return 'refused'
    prompt = core.dialect.parse_prompt(req.request.headers)
    stream = live.Stream(req, prompt, live.reserve(prompt), origin=start.origin)
    req.tokens = stream.reservation.memory_tokens
    req.longest_s = core.stats_table.longest_s(
        prompt.input_tokens, prompt.output_limit
    )
    if core.shutdown.may_cut(req):
        exchange.refuse(req.responder, UNAVAILABLE, 'stopping', may_retry=True)
        return 'refused'
    try:
        return await _Relay(core, stream, start).run()
    finally:
        core.live.end(stream)


class _Relay:
    """Relays one stream, segment by segment."""

    def __init__(
        self,
        core: core_lib.Core,
        stream: live.Stream,
        start: resumption.Start,
    ) -> None:
        self._core = core
        self._stream = stream
        self._start = start
        self._is_origin_recorded = False
        # Passed on with the next event, so that a caller gets nothing of an
        # upstream that fails before it.
        self._comments = b''
        self._req = stream.exchange
        self._excluded: frozenset[str] = frozenset()
        self._unreachable = 0
        kind = stream.exchange.route.kind
        self._sends = at_most_once.SendHistory(kind.may_repeat)
        self._continuation = continuation.Continuation(core, stream)

    async def run(self) -> str:
        """Relays until the stream ends; returns its outcome for the log."""
        segment = await self._first_segment()
        outcome: segment_lib.Outcome | None = None
        while segment is not None:
            outcome = await self._run_segment(segment)
            self._sends.record(
                may_have_run=not segment_lib.has_not_run(outcome)
            )
            self._req.may_have_run = self._sends.may_have_run
            next_segment = await self._next_segment(segment, outcome)
            self._log_segment(segment, outcome, next_segment)
            if outcome is segment_lib.COMPLETE and next_segment is None:
                if segment.may_have_stopped:
                    break
                self._req.responder.end()
                self._record_output()
                return 'served'
            segment = next_segment
            if segment and not self._continuation.may_run_at(segment.upstream):
                break
        return self._respond_to_failure(outcome)

    async def _first_segment(self) -> segment_lib.Segment | None:
        grounds = self._sends.grounds_to_start()
        if grounds is None:
            return None
        req = self._req
        req.is_suspect = self._core.quarantine.is_charged(req)
        engine = req.service.engine or routing_table.Engine()
        reservation = self._stream.reservation
        upstream = await self._core.admission.acquire_engine(
            req, engine, reservation, self._excluded, self._stream.origin
        )
        if req.held_by is not None:
            result = 'rejected' if upstream is None else 'sent'
            meter.held.inc({'result': result, 'bound_by': req.held_by})
            req.held_by = None
        if upstream is None:
            return None
        prompt = self._stream.prompt
        stats = self._core.stats_table.of(upstream)
        req.longest_s = self._core.stats_table.longest_s(
            stats.prefill_tokens + prompt.input_tokens,
            prompt.output_limit,
            upstream,
        )
        if self._core.shutdown.may_cut(req):
            return None
        self._excluded |= {upstream.id}
        self._core.quota.consume(upstream)
        memory_tokens = reservation.memory_tokens
        choice_log.log_choice(self._core, req, upstream, memory_tokens)
        return self._continuation.first_segment(upstream, grounds)

    async def _run_segment(
        self, segment: segment_lib.Segment
    ) -> segment_lib.Outcome:
        core, stream, req = self._core, self._stream, self._req
        stats = core.stats_table.of(segment.upstream)
        core.live.place(stream, segment.upstream)
        core.live.set_backup(stream, segment.backup)
        try:
            async with attempt.send_request(
                core,
                req,
                segment.upstream,
                segment.extra_headers,
                continues=segment.continues,
            ) as sent:
                if sent.response_class is not attempt.ResponseClass.SUCCESS:
                    # After a restart, the new process at the address holds no
                    # streams, and would attract requests that it rejects. So
                    # `WRONG_UPSTREAM` counts as a failure.
                    if sent.response_class is not attempt.ResponseClass.NOT_RUN:
                        stats.record_failure()
                    body, _ = await attempt.read_body(
                        sent.conn, MAX_REFUSAL_BYTES
                    )
                    return segment_lib.Refusal(
                        sent.head, body, sent.response_class
                    )
                segment.is_framed = sent.conn.is_framed
                self._start_response(sent.head)
                await self._relay_events(segment, sent.conn)
                stats.failures.record_success()
                return segment_lib.COMPLETE
        except error.NotSentError as exc:
            return exc
        except error.CallError as exc:
            if stream.pending_stop is None and not segment.upstream.leaving:
                stats.record_failure()
            return exc

    def _start_response(self, head: message.ResponseHead) -> None:
        if self._req.responder.started:
            return
        headers = message.relayed_headers(head)
        self._req.responder.start(head.status, headers, None)

    async def _relay_events(
        self, segment: segment_lib.Segment, conn: call.Conn
    ) -> None:
        splitter = events.Splitter()
        stream, responder = self._stream, self._req.responder
        self._comments = b''
        sampler = gap_sampler.GapSampler(self._core, segment.upstream)
        while data := await conn.read():
            if stream.reservation.is_prefilling:
                self._core.live.record_prefill(
                    stream, is_sample=sampler.is_punctual(attempt.now())
                )
            before = segment.event_count
            new_data = b''.join(self._new_events(segment, splitter.feed(data)))
            if segment.event_count > before and stream.pending_stop is None:
                sampler.record(segment.event_count - before, attempt.now())
            if new_data:
                self._record_origin(segment)
                self._req.record_event()
                responder.write(new_data)
                await responder.drain()
                sampler.resume(attempt.now())
        if stream.pending_stop is not None:
            return
        if splitter.remainder:
            raise error.TruncatedError('stream ended in the middle of an event')
        if not conn.is_framed and await self._core.detector.has_crashed(
            segment.upstream
        ):
            raise error.TruncatedError('upstream crashed as its stream ended')
        if self._comments:
            responder.write(self._comments)

    def _record_origin(self, segment: segment_lib.Segment) -> None:
        """Records what generates the first event that the caller gets."""
        if self._is_origin_recorded:
            return
        self._is_origin_recorded = True
        stream = self._stream
        if stream.origin is None:
            stream.origin = software_versions.origin_of(segment.upstream)
        resumption.record_origin(
            self._core, self._req, self._start, stream.origin
        )

    def _record_output(self) -> None:
        """Records how long a complete output took after its first event."""
        req = self._req
        # The hint is of the whole output, which a stream that was taken up
        # began elsewhere.
        if req.first_event_s is None or self._start.origin is not None:
            return
        begun_s = req.request.received_s + req.first_event_s
        self._core.stats_table.record_output(
            self._stream.prompt.output_hint, attempt.now() - begun_s
        )

    def _new_events(
        self, segment: segment_lib.Segment, parsed: Iterator[events.Event]
    ) -> Iterator[bytes]:
        stream = self._stream
        for item in parsed:
            if item.is_comment:
                self._comments += item.raw
                continue
            comments, self._comments = self._comments, b''
            segment.record_event(attempt.now())
            if item.id is not None:
                if stream.last_id is not None:
                    if item.id <= stream.last_id:
                        continue
                    if item.id != stream.last_id + 1:
                        raise OutOfOrderError(
                            f'received event {item.id} after {stream.last_id}'
                        )
                stream.last_id = item.id
            yield comments + item.raw

    async def _next_segment(
        self, segment: segment_lib.Segment, outcome: segment_lib.Outcome
    ) -> segment_lib.Segment | None:
        if isinstance(outcome, error.CallError) and not (
            await self._core.quarantine.may_resend(
                self._req, self._core.detector.is_checking
            )
        ):
            return None
        next_segment = await self._continuation.next_segment(segment, outcome)
        if next_segment is not None or outcome is segment_lib.COMPLETE:
            return next_segment
        if segment.continues and segment_lib.has_not_run(outcome):
            return None
        return await self._restart() if self._may_resend(outcome) else None

    async def _restart(self) -> segment_lib.Segment | None:
        segment = await self._first_segment()
        if segment is not None and self._stream.last_id is not None:
            segment.extra_headers.extend(self._continuation.resume_headers())
        return segment

    def _may_resend(self, outcome: segment_lib.Outcome) -> bool:
        req, sends = self._req, self._sends
        if sends.grounds_to_start() is None:
            return False
        if isinstance(outcome, error.CallError) and not attempt.may_have_run(
            outcome
        ):
            self._unreachable += 1
            has_retries = self._unreachable <= MAX_UNREACHABLE_RETRIES
            return has_retries and not sends.may_have_run
        if _is_misdirected(outcome):
            self._unreachable += 1
            if self._unreachable > MAX_UNREACHABLE_RETRIES:
                return False
            self._core.budget.record_retry(req.service.name)
            return True
        return self._spend_retry()

    def _spend_retry(self) -> bool:
        if self._req.sends >= self._req.route.attempts:
            return False
        return self._core.budget.try_spend(self._req.service.name)

    def _respond_to_failure(self, outcome: segment_lib.Outcome | None) -> str:
        responder = self._req.responder
        if responder.started:
            responder.abort()
            return 'cut'
        if not self._sends.may_have_run:
            exchange.refuse(
                responder,
                UNAVAILABLE,
                'not_run',
                may_retry=True,
                retry_after_s=max(self._req.retry_after_s, self._pause_s()),
            )
            return 'refused'
        if (
            isinstance(outcome, segment_lib.Refusal)
            and outcome.response_class is attempt.ResponseClass.FAILED
            and self._req.sends <= 1
        ):
            headers = message.relayed_headers(outcome.head)
            responder.reply(outcome.head.status, headers, outcome.body)
            return 'upstream_failed'
        exchange.refuse(responder, BAD_GATEWAY, 'upstream_failed')
        return 'failed'

    def _pause_s(self) -> float:
        req = self._req
        engines = self._core.upstreams.available(req.service.name, req.regions)
        return self._core.quota.pause_s(engines)

    def _log_segment(
        self,
        segment: segment_lib.Segment,
        outcome: segment_lib.Outcome,
        next_segment: segment_lib.Segment | None,
    ) -> None:
        meter.attempts.inc({'result': segment_lib.describe(outcome)})
        event.note(
            event.LegEnded(
                request=self._req.id_text,
                upstream=segment.upstream.id,
                leaving=segment.upstream.leaving,
                continued=segment.continues,
                result=segment_lib.describe(outcome),
                last_event=self._stream.last_id,
                next=next_segment.upstream.id if next_segment else '',
                backup=segment.backup.id if segment.backup else '',
                grounds=segment.grounds.value,
                events=segment.event_count,
                software_version=segment.upstream.software_version,
                next_version=next_segment.upstream.software_version
                if next_segment
                else '',
            )
        )


def _is_misdirected(outcome: segment_lib.Outcome) -> bool:
    """Whether the request reached another upstream than the intended one."""
    wrong = attempt.ResponseClass.WRONG_UPSTREAM
    return (
        isinstance(outcome, segment_lib.Refusal)
        and outcome.response_class is wrong
    )
