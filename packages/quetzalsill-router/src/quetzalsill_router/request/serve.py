"""Runs one accepted request to its terminal event."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncGenerator
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.telemetry import metric, trace
from quetzalsill_router import event
from quetzalsill_router.request import active as active_module
from quetzalsill_router.request import attempts, outcome, piece, record, spec

if TYPE_CHECKING:
    from quetzalsill_router import context
    from quetzalsill_router.limit import shares

__all__ = ['start', 'start_detached']

DEADLINE_GRACE_S = 1.0

requests_total = metric.counter(
    'quetzalsill_router_requests_total', 'Requests ended, by code.'
)
request_seconds = metric.histogram(
    'quetzalsill_router_request_seconds', 'Time from acceptance to the end.'
)


def start(
    ctx: context.Context,
    work: spec.Work,
    grant: shares.Grant | None = None,
) -> active_module.ActiveRequest:
    """Starts the task that serves `work`; its pieces go to `delivery`.

    Args:
      ctx: The router.
      work: The accepted request.
      grant: Leave of its account, released at the end.
    """
    active = active_module.ActiveRequest(work, grant=grant)
    ctx.active.add(active)
    active.task = asyncio.create_task(
        _run(ctx, active), name=f'request {work.request}'
    )
    return active


def start_detached(
    ctx: context.Context, work: spec.Work, grant: shares.Grant | None = None
) -> active_module.ActiveRequest:
    """Starts work whose answer is only stored, not delivered."""
    active = start(ctx, work, grant)
    active.delivery.disconnect()
    return active


async def _run(
    ctx: context.Context, active: active_module.ActiveRequest
) -> None:
    """Serves the request, tells its end, and stores a failure."""
    work = active.work
    try:
        with trace.span(
            'router.request',
            parent=work.trace,
            request=work.request,
            account=work.account,
        ):
            work.trace = trace.traceparent()
            error = await _serve(ctx, active)
            if error is not None:
                await _settle_failure(ctx, active, error)
    finally:
        active.acknowledge()
        ctx.active.remove(active)


async def _serve(
    ctx: context.Context, active: active_module.ActiveRequest
) -> request_error.RequestError | None:
    """Serves the request; whatever happens, the caller gets an end.

    Returns:
      The failure that ended it; None if the answer is whole.
    """
    error: request_error.RequestError | None = None
    # The sidecar counts the same deadline and says itself whether the work
    # ran. It is given a grace, because only its word can be "not run".
    limit = active.work.deadline + DEADLINE_GRACE_S
    timer = asyncio.get_running_loop().call_at(limit, active.expire)
    try:
        await _deliver(ctx, active)
    except request_error.RequestError as exc:
        error = exc
    except asyncio.CancelledError:
        if active.cancelled is None:
            error = request_error.ShuttingDownError('the router stopped')
            raise
        error = active.cancelled
    except Exception as exc:
        # A fault of our own code must not leave the caller waiting: it
        # would show as an answer that stalls for ever.
        event.note(
            event.RequestFault(
                request=active.work.request,
            ),
            exc=exc,
        )
        error = request_error.RequestError(
            f'internal fault: {type(exc).__name__}'
        )
    finally:
        timer.cancel()
        if error is not None:
            error.ran = outcome.combine_ran(active.ran, error.ran)
        if active.grant is not None:
            active.grant.release()
        active.delivery.end(error)
        _record_end(active, error)
    return error


async def _deliver(
    ctx: context.Context, active: active_module.ActiveRequest
) -> None:
    """Hands the pieces of the answer to the caller, and counts them."""
    work = active.work
    stream = _pipeline(ctx, active)
    async with contextlib.aclosing(stream):
        async for part in stream:
            if isinstance(part, piece.Items):
                active.delivered += len(part.items)
            active.delivery.put(part)
    if work.kind != spec.CALL:
        ctx.lengths.observe(work.target, work.profile_name, active.delivered)


def _pipeline(
    ctx: context.Context, active: active_module.ActiveRequest
) -> AsyncGenerator[piece.Piece, None]:
    """Joins the generators that make the request's answer."""
    stream = attempts.pieces(ctx, active)
    if active.work.entry is not None or active.work.recover_only:
        stream = record.record_answer(ctx, active, stream)
    return stream


async def _settle_failure(
    ctx: context.Context,
    active: active_module.ActiveRequest,
    error: request_error.RequestError,
) -> None:
    """Stores a failure, or goes on asking what became of the work.

    A caller that was told "unknown" may ask again later; the outcome is
    then what the upstream says once it can be asked.
    """
    work = active.work
    if _may_resolve_later(active, error):
        later = active_module.ActiveRequest(
            _recovery_work(ctx, work), task=active.task
        )
        later.delivery.disconnect()
        ctx.active.add(later)
        await _run(ctx, later)
        return
    if work.entry is not None or work.recover_only:
        await record.record_failure(ctx, active, error)


def _may_resolve_later(
    active: active_module.ActiveRequest, error: request_error.RequestError
) -> bool:
    """Whether an outcome that is unknown now may be known later."""
    work = active.work
    if error.ran is not base.Ran.UNKNOWN or work.recover_only:
        return False
    if active.cancelled is None:
        return work.run is not None
    # Cancelled by its caller nobody asks for it, and what may be repeated
    # after its deadline need not be asked for. An order has to be.
    late = isinstance(active.cancelled, request_error.DeadlineError)
    return late and work.run is not None and not work.idempotent


def _recovery_work(ctx: context.Context, work: spec.Work) -> spec.Work:
    """Makes the work that only asks for the outcome of its latest run."""
    deadline = time.monotonic() + ctx.settings.requests.settle_s
    return dataclasses.replace(
        work, deadline=deadline, recover_only=True, body=None
    )


def _record_end(
    active: active_module.ActiveRequest,
    error: request_error.RequestError | None,
) -> None:
    """Logs and counts the end of a request."""
    work = active.work
    code = error.code if error is not None else 'ok'
    seconds = time.monotonic() - active.accepted
    requests_total.inc({'code': code, 'kind': work.kind})
    request_seconds.observe({'kind': work.kind}, seconds)
    event.note(
        event.RequestEnded(
            request=work.request,
            account=work.account,
            profile=work.profile_name,
            target=work.target,
            code=code,
            ran=str(error.ran if error is not None else base.Ran.YES),
            attempts=active.attempts,
            delivered=active.delivered,
            seconds=round(seconds, 4),
        )
    )
