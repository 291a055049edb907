"""Calls whose answer is one body."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.net import deadline
from quetzalsill_gateway import (
    at_most_once,
    attempt,
    event,
    exchange,
    meter,
)
from quetzalsill_gateway.balance import choose, note
from quetzalsill_gateway.http import error, message

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['forward']

# Larger bodies are passed on as they come, since a few of them would fill the
# memory of an entry host; an answer so begun cannot be replaced by another.
HELD_BYTES = 1_048_576
MISDIRECTED_TRIES = 3
# A call that may be repeated is given up at one upstream after this many times
# the mean time there, when it is more likely to hang than to be slow.
HANG_MEANS = 6.0
# One that may not is told to hang after so many times that: taken for hanging
# by mistake, a server that is only slow would leave its work to the others.
TOLD_PATIENCES = 1.5
# A call waits for a connection for this share of its objective: told after it,
# its caller still has time to ask another gateway.
PLACE_SHARE = 0.5
PLACE_POLL_S = 0.005
BAD_GATEWAY = 502
UNAVAILABLE = 503
SERVER_ERROR = 500
ANSWERS = (attempt.Verdict.SUCCESS, attempt.Verdict.FAILED)


@dataclasses.dataclass(slots=True)
class _Answer:
    head: message.ResponseHead
    body: bytes
    verdict: attempt.Verdict


@dataclasses.dataclass(slots=True)
class _Story:
    """What came of the sends of one call so far.

    Attributes:
      sends: Whether any of them may have run the request.
      tried: Ids of the upstreams that were tried.
      newest: Result of the newest one.
      best: The answer of a server to hand on: the newest, as a server's own
        failure tells the caller more than one of ours.
      misdirected: Sends that reached nobody, or another than was meant.
    """

    sends: at_most_once.Sends
    tried: frozenset[str] = frozenset()
    newest: _Answer | error.CallError | None = None
    best: _Answer | None = None
    misdirected: int = 0

    def note(self, result: _Answer | error.CallError) -> None:
        """Takes the result of a send."""
        self.newest = result
        if isinstance(result, error.CallError):
            self.sends.note(may_have_run=attempt.may_have_run(result))
        else:
            self.sends.note(may_have_run=not result.verdict.is_not_run)
            if result.verdict in ANSWERS:
                self.best = result
        self.misdirected += self.is_misdirected

    @property
    def is_misdirected(self) -> bool:
        """Whether the newest send reached nobody, or another than meant."""
        if isinstance(self.newest, error.CallError):
            return not attempt.may_have_run(self.newest)
        return self.newest.verdict is attempt.Verdict.WRONG_UPSTREAM


class _PassedOnError(Exception):
    """Ends the sends: an answer too large to hold has been written already."""


async def forward(core: core_lib.Core, req: exchange.Exchange) -> str:
    """Brings a call to an upstream; returns its outcome for the log."""
    core.budget.note_request(req.service.name)
    story = _Story(at_most_once.Sends(req.route.kind.may_repeat))
    while True:
        upstream = await _choose(core, req, story)
        if upstream is None:
            return _answer(req, story)
        story.tried |= {upstream.id}
        core.quota.spend(upstream)
        note.chosen(core, req, upstream)
        try:
            story.note(await _call(core, req, upstream))
        except _PassedOnError:
            return 'served'
        except error.CallError as exc:
            story.note(exc)
        again = _may_send_again(core, req, story)
        meter.attempts.inc({'result': _describe(story.newest)})
        event.note(
            event.AttemptEnded(
                request=req.id_text,
                upstream=upstream.id,
                result=_describe(story.newest),
                again=again,
            )
        )
        if not again:
            return _answer(req, story)


async def _choose(
    core: core_lib.Core, req: exchange.Exchange, story: _Story
) -> upstream_lib.Upstream | None:
    """Returns where to send a call, None if nothing takes it in time.

    An upstream that hangs holds the connections that this gateway may have to
    it, and gets nothing more; where all are taken a call waits for a moment.
    """
    end_s = req.request.received_s + PLACE_SHARE * req.route.objective_s
    while True:
        found = core.upstreams.of(req.service.name, req.regions)
        allowed = [one for one in found if core.quota.allows(one)]
        upstream = choose.choose_plain(
            allowed,
            core.stats_table,
            core.zone,
            story.tried,
            may_repeat=req.route.kind.may_repeat,
        )
        if upstream is not None or attempt.now() >= end_s:
            return upstream
        if not any(choose.open_to_work(found, story.tried)):
            return None
        await asyncio.sleep(PLACE_POLL_S)


async def _call(
    core: core_lib.Core, req: exchange.Exchange, upstream: upstream_lib.Upstream
) -> _Answer:
    stats = core.stats_table.of(upstream)
    stats.outstanding += 1
    begun_s = attempt.now()
    patience_s = max(req.route.objective_s, HANG_MEANS * stats.mean_latency_s)
    # Told while it hangs: its deadline is far, and all gateways send there.
    hanging = asyncio.get_running_loop().call_later(
        TOLD_PATIENCES * patience_s, stats.record_hang, begun_s
    )
    try:
        async with deadline.timeout(patience_s if _may_leave(req) else None):
            answer = await _exchange(core, req, upstream)
    except error.NotSentError:
        raise
    except error.CallError:
        stats.record_failure()
        raise
    except TimeoutError as exc:
        stats.record_failure()
        stats.record_hang(begun_s)
        core.conns.drop(upstream.address)
        raise error.SilentError(upstream.address_text) from exc
    finally:
        hanging.cancel()
        stats.outstanding -= 1
    stats.record_latency(attempt.now() - begun_s)
    if answer.verdict is not attempt.Verdict.SUCCESS:
        stats.record_failure(0.3)
    return answer


def _may_leave(req: exchange.Exchange) -> bool:
    """Whether a call may be given up where it hangs, and sent elsewhere."""
    is_last = req.sends + 1 >= req.route.attempts
    return req.route.kind.may_repeat and not is_last


async def _exchange(
    core: core_lib.Core, req: exchange.Exchange, upstream: upstream_lib.Upstream
) -> _Answer:
    async with attempt.opened(core, req, upstream, []) as sent:
        body, whole = await attempt.read_body(sent.conn, HELD_BYTES)
        if whole:
            return _Answer(sent.head, body, sent.verdict)
        if sent.verdict is not attempt.Verdict.SUCCESS:
            raise error.MalformedAnswerError('a failure with a large body')
        await _pass_on(req, sent, body)
    raise _PassedOnError


async def _pass_on(
    req: exchange.Exchange, sent: attempt.Opened, body: bytes
) -> None:
    headers = message.relayed(sent.head)
    req.responder.start(sent.head.status, headers, sent.head.length)
    while body:
        req.responder.write(body)
        await req.responder.drain()
        body = await sent.conn.read()
    req.responder.end()


def _may_send_again(
    core: core_lib.Core, req: exchange.Exchange, story: _Story
) -> bool:
    newest = story.newest
    if req.responder.started or story.sends.to_begin() is None:
        return False
    if story.is_misdirected:
        if story.misdirected >= MISDIRECTED_TRIES:
            return False
        if not isinstance(newest, error.CallError):
            core.budget.note_retry(req.service.name)
        return True
    if not _is_worthwhile(newest) or req.sends >= req.route.attempts:
        return False
    return core.budget.spend(req.service.name)


def _is_worthwhile(newest: _Answer | error.CallError) -> bool:
    """Whether another upstream may do better than the newest one."""
    if isinstance(newest, error.CallError):
        return True
    return newest.verdict is attempt.Verdict.NOT_RUN or _is_fault(newest)


def _is_fault(result: _Answer) -> bool:
    return (
        result.head.status >= SERVER_ERROR
        or result.verdict is attempt.Verdict.UNPROVED
    )


def _answer(req: exchange.Exchange, story: _Story) -> str:
    responder = req.responder
    if responder.started:
        responder.abort()
        return 'cut'
    best = story.best
    if best is not None:
        responder.reply(
            best.head.status,
            message.relayed(best.head),
            best.body,
        )
        served = best.verdict is attempt.Verdict.SUCCESS
        return 'served' if served else 'upstream_failed'
    if not story.sends.may_have_run:
        exchange.refuse(responder, UNAVAILABLE, 'not_run', again=True)
        return 'refused'
    exchange.refuse(responder, BAD_GATEWAY, 'upstream_failed')
    return 'failed'


def _describe(result: _Answer | error.CallError) -> str:
    if isinstance(result, error.CallError):
        return result.code
    return f'{result.verdict.value}_{result.head.status}'
