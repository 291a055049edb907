"""Selects the peer for the next attempt of a request."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill.telemetry import trace
from quetzalsill_router.request import outcome, spec
from quetzalsill_router.routing import query as routing_query

if TYPE_CHECKING:
    from quetzalsill_router import context
    from quetzalsill_router.peer import peer as peer_module
    from quetzalsill_router.request import active as active_module
    from quetzalsill_router.request import attempt_history as history_module

__all__ = ['select_peer', 'wait_before_retry', 'wait_for_peer']

# Interval at which a request checks for a link that is being re-established.
LINK_POLL_S = 0.02
# Part of the remaining time that a request may wait for a link, so that the
# caller has time left to try another router.
MAX_LINK_WAIT_FRACTION = 0.5
MIN_RETRY_WAIT_S = 0.2
MAX_RETRY_WAIT_S = 5.0

rng = random.Random()


async def select_peer(
    ctx: context.Context,
    active: active_module.ActiveRequest,
    history: history_module.AttemptHistory,
) -> peer_module.Peer:
    """Returns the peer for the next attempt.

    Raises:
      RequestError: No peer is left. A durable request waits instead,
        since it was accepted and can no longer be refused.
    """
    work = active.work
    wait_end_s = time.monotonic() + MAX_LINK_WAIT_FRACTION * work.remaining_s()
    while True:
        _check_deadline(work)
        usable = history.usable(ctx.peers.candidates(work.target))
        with trace.span('router.route', parent=work.trace):
            peer = ctx.routing(_query(ctx, work), usable)
        if peer is not None:
            return peer
        if (
            ctx.peers.is_reconnecting(work.target)
            and time.monotonic() < wait_end_s
        ):
            await asyncio.sleep(LINK_POLL_S)
            continue
        error = history.no_upstream_error()
        if not work.durable:
            raise error
        await wait_before_retry(active, error.retry_after_s)
        history.next_round()


async def wait_for_peer(
    ctx: context.Context, active: active_module.ActiveRequest, upstream: str
) -> peer_module.Peer:
    """Returns the linked peer of an upstream, waiting for its link.

    Raises:
      AttemptEndedError: It did not reconnect in time, or was removed from
        the configuration.
    """
    work = active.work
    limit = work.deadline
    if work.idempotent and not work.recover_only:
        limit = min(limit, time.monotonic() + ctx.settings.requests.recover_s)
    while time.monotonic() < limit:
        peer = ctx.peers.get(upstream)
        if peer is not None and peer.linked:
            return peer
        if upstream not in ctx.holder.current.upstreams:
            break
        await wait_before_retry(active, MIN_RETRY_WAIT_S)
    raise outcome.unknown_outcome(
        f'upstream {upstream} did not come back to say'
    )


async def wait_before_retry(
    active: active_module.ActiveRequest, hint_s: float
) -> None:
    """Waits for about `hint_s`, within limits, before the next try."""
    wait_s = min(max(hint_s, MIN_RETRY_WAIT_S), MAX_RETRY_WAIT_S) * rng.uniform(
        0.75, 1.25
    )
    await asyncio.sleep(min(wait_s, max(0.0, active.work.remaining_s())))


def _query(ctx: context.Context, work: spec.Work) -> routing_query.Query:
    """Builds the query for the routing policy."""
    return routing_query.Query(
        target=work.target,
        is_call=work.kind == spec.CALL,
        availability_zone=ctx.settings.node.availability_zone,
        prefix=work.prefix,
        prompt_tokens=work.prompt_tokens,
    )


def _check_deadline(work: spec.Work) -> None:
    """Raises `DeadlineError` if the deadline has passed."""
    if work.remaining_s() <= 0:
        raise request_error.DeadlineError('no upstream took it in time')
