"""Unary calls: requests whose response is a single body."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from typing import TYPE_CHECKING

from quetzalsill.net import deadline
from quetzalsill_gateway import (
    at_most_once,
    attempt,
    event,
    exchange,
    meter,
)
from quetzalsill_gateway.balance import choice_log, choose, rate_queue
from quetzalsill_gateway.http import error, message

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['forward']

# Larger bodies are relayed as they arrive, since a few of them would fill the
# memory of an entry host. A response that was started cannot be replaced.
MAX_BUFFERED_BYTES = 1_048_576
# Written at once; more waits until the caller has read it.
RELAYED_BYTES = 65_536
MAX_MISDIRECTED_SENDS = 3
# A call that may be repeated is abandoned at an upstream after this many times
# the mean latency there, when it is more likely to hang than to be slow.
HANG_LATENCY_FACTOR = 6.0
# A call is recorded as a hang after this many times that limit. If a slow
# server were taken for a hanging one, its work would go to the others.
HANG_REPORT_FACTOR = 1.5
# A call waits for a connection for at most this share of its objective. If it
# is refused then, its caller still has time to try another gateway.
CONNECTION_WAIT_SHARE = 0.5
CONNECTION_POLL_S = 0.005
BAD_GATEWAY = 502
UNAVAILABLE = 503
SERVER_ERROR = 500
RELAYED_CLASSES = (attempt.ResponseClass.SUCCESS, attempt.ResponseClass.FAILED)


@dataclasses.dataclass(slots=True)
class _Response:
    head: message.ResponseHead
    body: bytes
    response_class: attempt.ResponseClass


@dataclasses.dataclass(slots=True)
class _CallProgress:
    """Results of the attempts of one call so far.

    Attributes:
      history: Whether any attempt may have run the request.
      tried: Ids of the upstreams that were tried.
      latest: Result of the latest attempt.
      last_response: Latest response that can be relayed: a server's own failure
        tells the caller more than one of the gateway.
      misdirected: Number of attempts that reached no upstream or a wrong one.
    """

    history: at_most_once.SendHistory
    tried: frozenset[str] = frozenset()
    latest: _Response | error.CallError | None = None
    last_response: _Response | None = None
    misdirected: int = 0

    def record(self, result: _Response | error.CallError) -> None:
        """Records the result of an attempt."""
        self.latest = result
        if isinstance(result, error.CallError):
            self.history.record(may_have_run=attempt.may_have_run(result))
        else:
            self.history.record(
                may_have_run=not result.response_class.is_not_run
            )
            if result.response_class in RELAYED_CLASSES:
                self.last_response = result
        self.misdirected += self.is_misdirected

    @property
    def is_misdirected(self) -> bool:
        """Whether the latest attempt reached no upstream or a wrong one."""
        if isinstance(self.latest, error.CallError):
            return not attempt.may_have_run(self.latest)
        return (
            self.latest.response_class is attempt.ResponseClass.WRONG_UPSTREAM
        )


class _AlreadyRelayedError(Exception):
    """A response too large to buffer has been relayed; ends the attempts."""


async def forward(core: core_lib.Core, req: exchange.Exchange) -> str:
    """Forwards a call to an upstream; returns its outcome for the log."""
    core.budget.record_request(req.service.name)
    progress = _CallProgress(
        at_most_once.SendHistory(req.route.kind.may_repeat)
    )
    while True:
        upstream = await _choose(core, req, progress)
        if upstream is None:
            return _respond(core, req, progress)
        progress.tried |= {upstream.id}
        core.quota.consume(upstream)
        choice_log.log_choice(core, req, upstream)
        try:
            progress.record(await _call(core, req, upstream))
        except _AlreadyRelayedError:
            return 'served'
        except error.CallError as exc:
            progress.record(exc)
        req.may_have_run = progress.history.may_have_run
        again = await _may_send_again(core, req, progress)
        meter.attempts.inc({'result': _result_text(progress.latest)})
        event.note(
            event.AttemptEnded(
                request=req.id_text,
                upstream=upstream.id,
                result=_result_text(progress.latest),
                again=again,
            )
        )
        if not again:
            return _respond(core, req, progress)


async def _choose(
    core: core_lib.Core, req: exchange.Exchange, progress: _CallProgress
) -> upstream_lib.Upstream | None:
    """Returns the upstream for a call; None if none accepts it in time.

    An upstream that hangs occupies this gateway's quota of connections to it
    and gets no further calls. If the quota of every upstream is used up, waits
    for a connection. Where all upstreams limit the rate, the most urgent calls
    go first, and one whose turn will come too late gets none at once.
    """
    entry = core.rate_queue.enter(req.service.name, req.priority)
    try:
        return await _wait_for_upstream(core, req, progress, entry)
    finally:
        core.rate_queue.leave(entry)


async def _wait_for_upstream(
    core: core_lib.Core,
    req: exchange.Exchange,
    progress: _CallProgress,
    entry: rate_queue.Entry,
) -> upstream_lib.Upstream | None:
    end_s = (
        req.request.received_s + CONNECTION_WAIT_SHARE * req.route.objective_s
    )
    while not core.quarantine.rejects(req):
        candidates = core.upstreams.available(req.service.name, req.regions)
        accepting = list(choose.accepting_work(candidates, progress.tried))
        ahead = 0
        if core.quota.is_limited(accepting):
            ahead = core.rate_queue.ahead(entry)
            wait_s = core.quota.wait_s(accepting, ahead)
            if attempt.now() + wait_s > end_s:
                req.retry_after_s = _retry_after_s(core, candidates, ahead)
                return None
        allowed = [one for one in accepting if core.quota.allows(one)]
        upstream = choose.choose_for_call(
            [] if ahead else allowed,
            core.stats_table,
            core.zone,
            progress.tried,
            may_repeat=req.route.kind.may_repeat,
        )
        if upstream is not None:
            mean_s = core.stats_table.of(upstream).mean_latency_s
            req.longest_s = HANG_LATENCY_FACTOR * mean_s
            return None if core.shutdown.may_cut(req) else upstream
        if attempt.now() >= end_s:
            return None
        if not accepting:
            return None
        await asyncio.sleep(CONNECTION_POLL_S)
    return None


def _retry_after_s(
    core: core_lib.Core, candidates: list[upstream_lib.Upstream], ahead: int
) -> float:
    """Returns when a call may come again that no upstream takes in time.

    It may then go to any upstream, tried or not. A gateway without a share of
    the rate names the mean time between two requests that others may send.
    """
    wait_s = core.quota.wait_s(candidates, ahead)
    if math.isinf(wait_s):
        wait_s = 1.0 / core.quota.total_per_s(candidates)
    return max(exchange.RETRY_AFTER_S, wait_s)


async def _call(
    core: core_lib.Core, req: exchange.Exchange, upstream: upstream_lib.Upstream
) -> _Response:
    stats = core.stats_table.of(upstream)
    stats.outstanding += 1
    begun_s = attempt.now()
    hang_after_s = max(
        req.route.objective_s, HANG_LATENCY_FACTOR * stats.mean_latency_s
    )
    # Recorded while the call still hangs: its deadline may be far off, and
    # other gateways also send to that upstream.
    hang_timer = asyncio.get_running_loop().call_later(
        HANG_REPORT_FACTOR * hang_after_s, stats.record_hang, begun_s
    )
    try:
        async with deadline.timeout(
            hang_after_s if _may_give_up(req) else None
        ):
            response = await _send(core, req, upstream)
    except error.NotSentError:
        raise
    except error.CallError:
        stats.record_failure()
        raise
    except TimeoutError as exc:
        stats.record_failure()
        stats.record_hang(begun_s)
        core.conns.close_idle(upstream.address)
        raise error.ResponseTimeoutError(upstream.address_text) from exc
    finally:
        hang_timer.cancel()
        stats.outstanding -= 1
    if response.response_class.is_not_run:
        # A server rejects calls faster than it processes them.
        stats.record_answer(begun_s)
    else:
        stats.record_latency(attempt.now() - begun_s)
    is_success = response.response_class is attempt.ResponseClass.SUCCESS
    # A pause keeps calls away for as long as needed.
    if not is_success and not core.backoffs.is_pausing(upstream):
        stats.record_failure(0.3)
    return response


def _may_give_up(req: exchange.Exchange) -> bool:
    """Whether a call that hangs may be abandoned and sent elsewhere."""
    is_last = req.sends + 1 >= req.route.attempts
    return req.route.kind.may_repeat and not is_last


async def _send(
    core: core_lib.Core, req: exchange.Exchange, upstream: upstream_lib.Upstream
) -> _Response:
    async with attempt.send_request(core, req, upstream, []) as sent:
        body, is_complete = await attempt.read_body(
            sent.conn, MAX_BUFFERED_BYTES, req.responder.may_buffer
        )
        if is_complete:
            return _Response(sent.head, body, sent.response_class)
        if sent.response_class is not attempt.ResponseClass.SUCCESS:
            raise error.MalformedResponseError(
                'failure response with a body too large to buffer'
            )
        await _relay(req, sent, body)
    raise _AlreadyRelayedError


async def _relay(
    req: exchange.Exchange, sent: attempt.SentRequest, body: bytes
) -> None:
    headers = message.relayed_headers(sent.head)
    req.responder.start(sent.head.status, headers, sent.head.length)
    while body:
        for start in range(0, len(body), RELAYED_BYTES):
            req.responder.write(body[start : start + RELAYED_BYTES])
            await req.responder.drain()
        body = await sent.conn.read()
    req.responder.end()


async def _may_send_again(
    core: core_lib.Core, req: exchange.Exchange, progress: _CallProgress
) -> bool:
    latest = progress.latest
    if isinstance(latest, error.CallError) and not (
        await core.quarantine.may_resend(req, core.detector.is_checking)
    ):
        return False
    if req.responder.started or progress.history.grounds_to_start() is None:
        return False
    if progress.is_misdirected:
        if progress.misdirected >= MAX_MISDIRECTED_SENDS:
            return False
        if not isinstance(latest, error.CallError):
            core.budget.record_retry(req.service.name)
        return True
    if not _may_succeed_elsewhere(latest) or req.sends >= req.route.attempts:
        return False
    return core.budget.try_spend(req.service.name)


def _may_succeed_elsewhere(latest: _Response | error.CallError) -> bool:
    """Whether the call may succeed at another upstream."""
    if isinstance(latest, error.CallError):
        return True
    return (
        latest.response_class is attempt.ResponseClass.NOT_RUN
        or _is_server_failure(latest)
    )


def _is_server_failure(result: _Response) -> bool:
    return (
        result.head.status >= SERVER_ERROR
        or result.response_class is attempt.ResponseClass.UNPROVED
    )


def _respond(
    core: core_lib.Core, req: exchange.Exchange, progress: _CallProgress
) -> str:
    responder = req.responder
    if responder.started:
        responder.abort()
        return 'cut'
    last_response = progress.last_response
    if last_response is not None:
        responder.reply(
            last_response.head.status,
            message.relayed_headers(last_response.head),
            last_response.body,
        )
        served = last_response.response_class is attempt.ResponseClass.SUCCESS
        return 'served' if served else 'upstream_failed'
    if not progress.history.may_have_run:
        exchange.refuse(
            responder,
            UNAVAILABLE,
            'not_run',
            may_retry=True,
            retry_after_s=max(
                req.retry_after_s,
                core.quota.pause_s(
                    core.upstreams.available(req.service.name, req.regions)
                ),
            ),
        )
        return 'refused'
    exchange.refuse(responder, BAD_GATEWAY, 'upstream_failed')
    return 'failed'


def _result_text(result: _Response | error.CallError) -> str:
    if isinstance(result, error.CallError):
        return result.code
    return f'{result.response_class.value}_{result.head.status}'
