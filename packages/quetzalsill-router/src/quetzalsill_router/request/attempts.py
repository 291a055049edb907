"""The attempt loop that serves one request."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncGenerator
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.telemetry import metric, trace
from quetzalsill_router import event
from quetzalsill_router.durable import entry as durable_entry
from quetzalsill_router.request import attempt_history as history_module
from quetzalsill_router.request import (
    buffering,
    dispatch,
    outcome,
    peer_selection,
    piece,
    retry,
    revalidation,
    spec,
)
from quetzalsill_router.routing import query as routing_query

if TYPE_CHECKING:
    from quetzalsill_router import context
    from quetzalsill_router.peer import peer as peer_module
    from quetzalsill_router.request import active as active_module

__all__ = ['pieces']

CONFIGURATION_WAIT_S = 2.0
MAX_MOVES = 3

rng = random.Random()
retries_total = metric.counter(
    'quetzalsill_router_retries_total', 'Further dispatches, by cause.'
)


async def pieces(
    ctx: context.Context, active: active_module.ActiveRequest
) -> AsyncGenerator[piece.Piece, None]:
    """Yields the pieces of the complete answer, from one generation only.

    Raises:
      RequestError: The request failed; raised as soon as this is certain,
        not at its deadline.
    """
    work = active.work
    history = history_module.AttemptHistory()
    run = work.run
    ctx.budget.record_request()
    while True:
        delivered = False
        try:
            if run is None:
                stream = _dispatch(ctx, active, history)
            else:
                stream = _recover(ctx, active, run)
            async with contextlib.aclosing(stream):
                async for part in stream:
                    delivered = True
                    yield part
            active.has_answer = True
            return
        except outcome.AttemptEndedError as exc:
            ended = exc.outcome
        active.end_attempt(ended.ran)
        _log_end(active, ended, delivered)
        if _must_recover(work, ended, delivered):
            run = work.run
            await peer_selection.wait_before_retry(
                active, history_module.DEFAULT_RETRY_AFTER_S
            )
            continue
        run = None
        await _prepare_next(ctx, active, history, ended, delivered)


def _must_recover(
    work: spec.Work, ended: outcome.Outcome, delivered: bool
) -> bool:
    """Whether to query the upstream of the latest run for its outcome.

    A durable request that is not idempotent must be neither failed nor
    dispatched a second time while its outcome is unknown.
    """
    if work.run is None or delivered:
        return False
    if ended.ran is not base.Ran.UNKNOWN or ended.gone:
        return False
    return work.recover_only or (work.durable and not work.idempotent)


async def _dispatch(
    ctx: context.Context,
    active: active_module.ActiveRequest,
    history: history_module.AttemptHistory,
) -> AsyncGenerator[piece.Piece, None]:
    """Dispatches to the peer that the routing policy selects."""
    work = active.work
    peer = await peer_selection.select_peer(ctx, active, history)
    ident = ctx.peers.next_attempt_id()
    history.revision = revalidation.revalidate(work, ctx.holder.current)
    await _record_run(ctx, active, peer, ident)

    def should_move() -> bool:
        if history.moves >= MAX_MOVES:
            return False
        others = history.usable(ctx.peers.candidates(work.target))
        return routing_query.has_better_peer(peer, others)

    stream = _open(ctx, active, peer, ident, should_move, recover=False)
    try:
        async with contextlib.aclosing(stream):
            async for part in stream:
                yield part
    except outcome.AttemptEndedError as exc:
        ended = outcome.from_dispatch(exc.outcome)
        raise outcome.AttemptEndedError(ended) from exc


async def _recover(
    ctx: context.Context,
    active: active_module.ActiveRequest,
    run: durable_entry.Run,
) -> AsyncGenerator[piece.Piece, None]:
    """Attaches to an earlier run on the upstream that it was sent to.

    Raises:
      AttemptEndedError: The run can't be attached to, or it failed.
    """
    peer = await peer_selection.wait_for_peer(ctx, active, run.upstream)
    same = peer.incarnation == run.incarnation
    # App servers can't report the outcome of a call; only the sidecar that
    # made the call knows it.
    if active.work.kind == spec.CALL and not same:
        raise outcome.unknown_outcome(
            f'the sidecar that called {run.upstream} is gone'
        )
    stream = _open(ctx, active, peer, run.attempt, lambda: False, recover=True)
    try:
        async with contextlib.aclosing(stream):
            async for part in stream:
                yield part
    except outcome.AttemptEndedError as exc:
        ended = outcome.from_recovery(exc.outcome, same)
        raise outcome.AttemptEndedError(ended) from exc


def _open(
    ctx: context.Context,
    active: active_module.ActiveRequest,
    peer: peer_module.Peer,
    ident: str,
    should_move: dispatch.ShouldMove,
    recover: bool,
) -> AsyncGenerator[piece.Piece, None]:
    """Sends the Dispatch and yields the pieces that may be forwarded."""
    work = active.work
    credit = ctx.settings.requests.credit_items
    msg = dispatch.build(work, peer, ident, work.revision, credit, recover)
    msg.engine = work.run.engine
    with trace.span(
        'router.dispatch',
        parent=work.trace,
        upstream=peer.upstream,
        attempt=ident,
        recover=recover,
    ):
        msg.trace = trace.traceparent()
        attempt = peer.open(msg)
    active.begin_attempt(ident, peer.upstream)
    stream = dispatch.follow(attempt, active, should_move)
    return buffering.until_complete(stream) if work.is_buffered else stream


async def _record_run(
    ctx: context.Context,
    active: active_module.ActiveRequest,
    peer: peer_module.Peer,
    ident: str,
) -> None:
    """Records the run about to be dispatched, journalled if the request is.

    Raises:
      RequestError: It was not recorded, so it must not be dispatched.
    """
    run = durable_entry.Run(ident, peer.upstream, peer.incarnation, peer.engine)
    entry = active.work.entry
    if entry is None:
        active.work.run = run
        return
    while True:
        try:
            await ctx.journal.record_dispatch(entry, run)
        except request_error.StoreUnavailableError:
            if not active.work.durable:
                raise
            await peer_selection.wait_before_retry(
                active, history_module.DEFAULT_RETRY_AFTER_S
            )
        else:
            entry.run = active.work.run = run
            return


async def _prepare_next(
    ctx: context.Context,
    active: active_module.ActiveRequest,
    history: history_module.AttemptHistory,
    ended: outcome.Outcome,
    delivered: bool,
) -> None:
    """Returns after the retry delay if another dispatch is permitted.

    Raises:
      RequestError: The request ends with this attempt.
    """
    work = active.work
    error = ended.error
    if work.body_consumed or work.recover_only or _is_final(ctx, work, ended):
        raise error
    if not outcome.may_dispatch_again(work.idempotent, delivered, ended):
        raise error
    if ended.moved:
        history.moves += 1
        return
    history.record(active.upstream, ended)
    if error.code == request_error.StaleRevisionError.code:
        await _wait_for_configuration(ctx, history, active.upstream)
    if not work.durable:
        _spend_retry(ctx, work, history, error)
    history.retries += 1
    retries_total.inc({'code': error.code})
    wait_s = retry.backoff_s(
        ctx.settings.retries.backoff_s, history.retries, rng
    )
    if wait_s >= work.remaining_s():
        raise error
    await asyncio.sleep(wait_s)


def _is_final(
    ctx: context.Context, work: spec.Work, ended: outcome.Outcome
) -> bool:
    """Whether every other upstream would respond in the same way.

    For journalled work, "superseded" means that it has a newer owner. It is
    also returned by a sidecar that was replaced since it was selected; then
    the request may go to any upstream.
    """
    if ended.error.code == request_error.SupersededError.code:
        return work.entry is not None and not ctx.journal.owns(work.entry)
    return outcome.is_final(ended)


def _spend_retry(
    ctx: context.Context,
    work: spec.Work,
    history: history_module.AttemptHistory,
    error: request_error.RequestError,
) -> None:
    """Spends one retry of the profile and of the router's budget.

    Raises:
      RequestError: Either is exhausted.
    """
    if history.retries < work.profile.retries and ctx.budget.try_spend():
        return
    if error.retry_after_s is None:
        error.retry_after_s = history_module.DEFAULT_RETRY_AFTER_S
    raise error


async def _wait_for_configuration(
    ctx: context.Context, history: history_module.AttemptHistory, upstream: str
) -> None:
    """Waits for the newer configuration that the sidecar already has."""
    waiting = ctx.holder.wait_for(history.revision + 1)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(waiting, CONFIGURATION_WAIT_S)
        history.refused.discard(upstream)


def _log_end(
    active: active_module.ActiveRequest, ended: outcome.Outcome, delivered: bool
) -> None:
    """Logs an attempt that ended without the complete answer."""
    event.note(
        event.AttemptEnded(
            request=active.work.request,
            upstream=active.upstream,
            code=ended.error.code,
            detail=ended.error.detail,
            ran=str(ended.ran),
            gone=ended.gone,
            moved=ended.moved,
            delivered=delivered,
        )
    )
