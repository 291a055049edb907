"""The loop of attempts by which one request is served."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import AsyncGenerator
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.plugin import registry
from quetzalsill.telemetry import log, metric, trace
from quetzalsill_router.request import active as active_module
from quetzalsill_router.request import (
    dispatch,
    hold,
    outcome,
    piece,
    retry,
    spec,
)
from quetzalsill_router.routing import query as routing_query

if TYPE_CHECKING:
    from quetzalsill_router import context
    from quetzalsill_router.peer import peer as peer_module

__all__ = ['pieces']

DEFAULT_RETRY_AFTER_S = 1.0
STALE_WAIT_S = 2.0
MAX_MOVES = 3
DURABLE_MIN_WAIT_S = 0.2
DURABLE_MAX_WAIT_S = 5.0

_log = log.get(__name__)
_rng = random.Random()
_retries = metric.counter(
    'quetzalsill_router_retries_total', 'Further dispatches, by cause.'
)


@dataclasses.dataclass(slots=True)
class _Tries:
    """What earlier attempts of this request have taught.

    Attributes:
      refused: Upstreams that refused; not asked again in this round.
      failed: Upstreams whose attempt failed; asked only if none is left.
      retries: Further dispatches so far.
      moves: Withdrawals in favour of another upstream so far.
      hints: Times to come back that refusals named, in seconds.
      last: The latest failure.
      ran: Whether any attempt so far ran.
      revision: Configuration under which the latest attempt was sent.
    """

    refused: set[str] = dataclasses.field(default_factory=set)
    failed: set[str] = dataclasses.field(default_factory=set)
    retries: int = 0
    moves: int = 0
    hints: list[float] = dataclasses.field(default_factory=list)
    last: request_error.RequestError | None = None
    ran: base.Ran = base.Ran.NO
    revision: int = 0

    def note_ran(self, ended: outcome.Outcome) -> None:
        """Keeps the strongest word that any attempt gave.

        A refusal after an earlier attempt of the same request had run is
        not "not run" to the caller, who would then repeat it.
        """
        self.ran = outcome.strongest(self.ran, ended.ran)

    def final(
        self, error: request_error.RequestError
    ) -> request_error.RequestError:
        """Makes the caller's final answer of the latest failure."""
        error.ran = outcome.strongest(self.ran, error.ran)
        return error


async def pieces(
    ctx: context.Context, active: active_module.Active
) -> AsyncGenerator[piece.Piece, None]:
    """Yields the pieces of the whole answer, from one generation only.

    Raises:
      RequestError: The request is given up; raised at once, not at its
        deadline.
    """
    work = active.work
    tries = _Tries()
    ctx.budget.deposit()
    while True:
        peer = await _choose(ctx, work, tries)
        active.upstream = peer.upstream
        active.attempts += 1
        tries.revision = ctx.holder.revision
        delivered = False
        try:
            stream = _attempt(ctx, work, peer, tries)
            async with contextlib.aclosing(stream):
                async for part in stream:
                    delivered = True
                    yield part
            return
        except outcome.AttemptEndedError as ended:
            tries.note_ran(ended.outcome)
            await _after(ctx, work, tries, peer, ended.outcome, delivered)


async def _attempt(
    ctx: context.Context,
    work: spec.Work,
    peer: peer_module.Peer,
    tries: _Tries,
) -> AsyncGenerator[piece.Piece, None]:
    """Dispatches to `peer` and yields what may be handed on."""
    ident = ctx.idents.attempt()

    def should_move() -> bool:
        if tries.moves >= MAX_MOVES:
            return False
        others = _usable(ctx, work, tries)
        return routing_query.is_better_elsewhere(peer, others)

    with trace.span(
        'dispatch', parent=work.trace, upstream=peer.upstream, attempt=ident
    ):
        msg = dispatch.build(
            work,
            peer,
            ident,
            ctx.holder.revision,
            ctx.settings.requests.credit_items,
        )
        msg.trace = trace.traceparent()
        attempt = peer.open(msg)
    stream = dispatch.follow(attempt, work, should_move)
    if work.held:
        stream = hold.whole(stream)
    async with contextlib.aclosing(stream):
        async for part in stream:
            yield part


def _query(ctx: context.Context, work: spec.Work) -> routing_query.Query:
    """Builds the question that the routing policy is asked."""
    return routing_query.Query(
        target=work.target,
        is_call=work.kind == spec.CALL,
        availability_zone=ctx.settings.node.availability_zone,
        prefix=work.prefix,
        prompt_tokens=work.prompt_tokens,
    )


def _usable(
    ctx: context.Context, work: spec.Work, tries: _Tries
) -> list[peer_module.Peer]:
    """Returns the peers that may be asked, those that failed last."""
    usable = [
        peer
        for peer in ctx.peers.candidates(work.target)
        if peer.linked
        and not peer.leaving
        and peer.upstream not in tries.refused
    ]
    fresh = [peer for peer in usable if peer.upstream not in tries.failed]
    return fresh or usable


async def _choose(
    ctx: context.Context, work: spec.Work, tries: _Tries
) -> peer_module.Peer:
    """Returns the peer of the next attempt.

    Raises:
      RequestError: No peer is left; a durable request waits instead.
    """
    while True:
        if work.remaining_s() <= 0:
            raise tries.final(
                request_error.DeadlineError('no upstream took it in time')
            )
        candidates = _usable(ctx, work, tries)
        query = _query(ctx, work)
        policy = registry.REGISTRY.get(
            'routing', ctx.holder.current.policies.routing
        )
        peer = policy(query, candidates) if candidates else None
        if peer is not None:
            return peer
        error = _exhausted(tries)
        if not work.durable:
            raise tries.final(error)
        await _wait_for_room(work, tries, error)


async def _wait_for_room(
    work: spec.Work, tries: _Tries, error: request_error.RequestError
) -> None:
    """Waits before all upstreams are asked again for a durable request.

    It was accepted, so a refusal by all is no answer to it; the pace is
    the one that the refusals named.
    """
    hint_s = error.retry_after_s or DEFAULT_RETRY_AFTER_S
    wait_s = min(max(hint_s, DURABLE_MIN_WAIT_S), DURABLE_MAX_WAIT_S)
    wait_s *= _rng.uniform(0.75, 1.25)
    await asyncio.sleep(min(wait_s, max(0.0, work.remaining_s())))
    tries.refused.clear()
    tries.hints.clear()


def _exhausted(tries: _Tries) -> request_error.RequestError:
    """Builds the final answer when no peer is left to ask."""
    if not tries.refused and not tries.failed:
        return request_error.NoUpstreamError(
            'no live upstream serves it', retry_after_s=DEFAULT_RETRY_AFTER_S
        )
    retry_after_s = min(tries.hints, default=DEFAULT_RETRY_AFTER_S)
    detail = tries.last.detail if tries.last else 'no upstream has room'
    return request_error.OverloadedError(
        f'every upstream refused: {detail}', retry_after_s=retry_after_s
    )


async def _after(
    ctx: context.Context,
    work: spec.Work,
    tries: _Tries,
    peer: peer_module.Peer,
    ended: outcome.Outcome,
    delivered: bool,
) -> None:
    """Returns if another dispatch is permitted.

    Raises:
      RequestError: The request ends with this attempt.
    """
    error = ended.error
    _log.info(
        'attempt_ended',
        request=work.request,
        upstream=peer.upstream,
        code=error.code,
        ran=str(error.ran),
        gone=ended.gone,
        moved=ended.moved,
        delivered=delivered,
    )
    if outcome.is_final(ended) or work.body_taken:
        raise tries.final(error)
    if not outcome.may_dispatch_again(work.idempotent, delivered, ended):
        raise tries.final(error)
    if ended.moved:
        tries.moves += 1
        return
    tries.last = error
    _remember(tries, peer, ended)
    if error.code == request_error.StaleRevisionError.code:
        await _catch_up(ctx, tries, peer)
    if not work.durable:
        _spend_retry(ctx, work, tries, error)
    _retries.inc({'code': error.code})
    tries.retries += 1
    wait_s = retry.backoff_s(
        ctx.settings.retries.backoff_s, tries.retries, _rng
    )
    await asyncio.sleep(min(wait_s, max(0.0, work.remaining_s())))


def _remember(
    tries: _Tries, peer: peer_module.Peer, ended: outcome.Outcome
) -> None:
    """Notes which upstream is not to be asked at once again."""
    if ended.ran is base.Ran.NO:
        tries.refused.add(peer.upstream)
        if ended.error.retry_after_s is not None:
            tries.hints.append(ended.error.retry_after_s)
    else:
        tries.failed.add(peer.upstream)


def _spend_retry(
    ctx: context.Context,
    work: spec.Work,
    tries: _Tries,
    error: request_error.RequestError,
) -> None:
    """Spends one retry of the profile and of the router's budget."""
    if tries.retries < work.profile.retries and ctx.budget.take():
        return
    if error.retry_after_s is None:
        error.retry_after_s = DEFAULT_RETRY_AFTER_S
    raise tries.final(error)


async def _catch_up(
    ctx: context.Context, tries: _Tries, peer: peer_module.Peer
) -> None:
    """Waits for the newer configuration that the sidecar already has."""
    newer = tries.revision + 1
    try:
        await asyncio.wait_for(ctx.holder.wait_for(newer), STALE_WAIT_S)
    except TimeoutError:
        return
    tries.refused.discard(peer.upstream)
