"""Calls whose answer is one body."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.telemetry import log
from quetzalsill_gateway import attempt, exchange
from quetzalsill_gateway.balance import choose
from quetzalsill_gateway.http import error, message

if TYPE_CHECKING:
    from quetzalsill_gateway import gateway
    from quetzalsill_gateway import upstream as upstream_lib

__all__ = ['forward']

# Larger bodies are passed on as they come, since a few of them would fill the
# memory of an entry host; an answer so begun cannot be replaced by another.
HELD_BYTES = 1_048_576
UNREACHABLE_TRIES = 3
# A call that may be repeated is given up at one upstream after this many times
# the mean time there, when it is more likely to hang than to be slow.
HANG_MEANS = 6.0
BAD_GATEWAY = 502
UNAVAILABLE = 503
SERVER_ERROR = 500
NOT_RUN = (attempt.Verdict.NOT_RUN, attempt.Verdict.WRONG_UPSTREAM)

logger = log.get(__name__)


@dataclasses.dataclass(slots=True)
class _Answer:
    head: message.ResponseHead
    body: bytes
    verdict: attempt.Verdict


class _PassedOn(Exception):
    """The answer was too large to hold and has been written already."""


async def forward(core: gateway.Core, req: exchange.Exchange) -> str:
    """Brings a call to an upstream; returns its outcome for the log."""
    core.budget.note_request(req.service.name)
    avoid: frozenset[str] = frozenset()
    unreachable = 0
    held: _Answer | error.CallError | None = None
    ran = False
    while True:
        upstream = choose.choose_plain(
            core.upstreams.of(req.service.name), core.pages, core.zone, avoid
        )
        if upstream is None:
            return _answer(req, held, ran)
        avoid |= {upstream.id}
        try:
            held = await _call(core, req, upstream)
        except _PassedOn:
            return 'served'
        except error.CallError as exc:
            held = exc
            if not attempt.may_have_run(exc):
                unreachable += 1
        ran = ran or _may_have_run(held)
        again = _may_send_again(core, req, held, unreachable)
        logger.info(
            'attempt_ended',
            request=req.id_text,
            upstream=upstream.id,
            result=_describe(held),
            again=again,
        )
        if not again:
            return _answer(req, held, ran)


async def _call(
    core: gateway.Core, req: exchange.Exchange, upstream: upstream_lib.Upstream
) -> _Answer:
    page = core.pages.page(upstream)
    page.outstanding += 1
    begun_s = attempt.now()
    try:
        async with asyncio.timeout(_patience_s(req, page.mean_s)):
            answer = await _exchange(core, req, upstream)
    except error.CallError:
        page.note_failure()
        raise
    except TimeoutError as exc:
        page.note_failure()
        core.conns.drop(upstream.address)
        raise error.SilentError(upstream.address_text) from exc
    finally:
        page.outstanding -= 1
    page.note_time(attempt.now() - begun_s)
    if answer.verdict is not attempt.Verdict.SUCCESS:
        page.note_failure(0.3)
    return answer


def _patience_s(req: exchange.Exchange, mean_s: float) -> float | None:
    is_last = req.sends + 1 >= req.route.attempts
    if is_last or not req.route.kind.may_repeat:
        return None
    return max(req.route.objective_s, HANG_MEANS * mean_s)


async def _exchange(
    core: gateway.Core, req: exchange.Exchange, upstream: upstream_lib.Upstream
) -> _Answer:
    async with attempt.opened(
        req, upstream, core.dialect, core.conns, []
    ) as sent:
        body, whole = await attempt.read_body(sent.conn, HELD_BYTES)
        if whole:
            return _Answer(sent.head, body, sent.verdict)
        if sent.verdict is not attempt.Verdict.SUCCESS:
            raise error.MalformedAnswerError('a failure with a large body')
        await _pass_on(req, sent, body)
    raise _PassedOn


async def _pass_on(
    req: exchange.Exchange, sent: attempt.Opened, body: bytes
) -> None:
    headers = _headers(sent.head)
    req.responder.start(sent.head.status, headers, sent.head.length)
    while body:
        req.responder.write(body)
        await req.responder.drain()
        body = await sent.conn.read()
    req.responder.end()


def _may_send_again(
    core: gateway.Core,
    req: exchange.Exchange,
    result: _Answer | error.CallError,
    unreachable: int,
) -> bool:
    if req.responder.started:
        return False
    if isinstance(result, error.CallError):
        if not attempt.may_have_run(result):
            return unreachable < UNREACHABLE_TRIES
        allowed = req.route.kind.may_repeat
    elif result.verdict is attempt.Verdict.WRONG_UPSTREAM:
        return unreachable < UNREACHABLE_TRIES
    elif result.verdict is attempt.Verdict.NOT_RUN:
        allowed = True
    elif result.verdict is attempt.Verdict.SUCCESS:
        return False
    else:
        allowed = req.route.kind.may_repeat and _is_fault(result)
    if not allowed or req.sends >= req.route.attempts:
        return False
    return core.budget.spend(req.service.name)


def _is_fault(result: _Answer) -> bool:
    return (
        result.head.status >= SERVER_ERROR
        or result.verdict is attempt.Verdict.UNPROVED
    )


def _may_have_run(result: _Answer | error.CallError) -> bool:
    if isinstance(result, error.CallError):
        return attempt.may_have_run(result)
    return result.verdict not in NOT_RUN


def _answer(
    req: exchange.Exchange, held: _Answer | error.CallError | None, ran: bool
) -> str:
    responder = req.responder
    if responder.started:
        responder.abort()
        return 'cut'
    if isinstance(held, _Answer):
        if held.verdict in (attempt.Verdict.SUCCESS, attempt.Verdict.FAILED):
            responder.reply(held.head.status, _headers(held.head), held.body)
            if held.verdict is attempt.Verdict.SUCCESS:
                return 'served'
            return 'upstream_failed'
    if not ran:
        exchange.refuse(responder, UNAVAILABLE, 'not_run', again=True)
        return 'refused'
    exchange.refuse(responder, BAD_GATEWAY, 'upstream_failed')
    return 'failed'


def _headers(head: message.ResponseHead) -> message.Headers:
    return [
        pair
        for pair in message.end_to_end(head.headers)
        if pair[0] != b'content-length'
    ]


def _describe(result: _Answer | error.CallError) -> str:
    if isinstance(result, error.CallError):
        return result.code
    return f'{result.verdict.value}_{result.head.status}'
