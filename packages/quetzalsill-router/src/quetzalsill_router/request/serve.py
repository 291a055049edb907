"""Runs one accepted request to its terminal event."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.telemetry import log, metric, trace
from quetzalsill_router.request import active as active_module
from quetzalsill_router.request import attempts, piece, spec

if TYPE_CHECKING:
    from quetzalsill_router import context
    from quetzalsill_router.limit import shares

__all__ = ['start']

_log = log.get(__name__)
_requests = metric.counter(
    'quetzalsill_router_requests_total', 'Requests ended, by code.'
)
_seconds = metric.histogram(
    'quetzalsill_router_request_seconds', 'Time from acceptance to the end.'
)


def start(
    ctx: context.Context, work: spec.Work, grant: shares.Grant
) -> active_module.Active:
    """Starts the task that serves `work`; its pieces go to `delivery`."""
    active = active_module.Active(work)
    ctx.active.add(active)
    active.task = asyncio.create_task(
        _run(ctx, active, grant), name=f'request {work.request}'
    )
    return active


async def _run(
    ctx: context.Context, active: active_module.Active, grant: shares.Grant
) -> None:
    """Serves the request; whatever happens, the caller gets an end."""
    error: request_error.RequestError | None = None
    try:
        with trace.span(
            'request',
            parent=active.work.trace,
            request=active.work.request,
            account=active.work.account,
        ):
            active.work.trace = trace.traceparent()
            await _deliver(ctx, active, grant)
    except request_error.RequestError as exc:
        error = exc
    except asyncio.CancelledError:
        if active.cancelled is None:
            error = request_error.ShuttingDownError(ran=base.Ran.UNKNOWN)
            raise
        error = active.cancelled
    except Exception as exc:
        # A fault of our own code must not leave the caller waiting: it
        # would show as an answer that stalls for ever.
        _log.exception('request_fault', request=active.work.request)
        error = request_error.RequestError(
            f'internal fault: {type(exc).__name__}', ran=base.Ran.UNKNOWN
        )
    finally:
        grant.release()
        ctx.active.remove(active)
        active.delivery.end(error)
        _report(active, error)


async def _deliver(
    ctx: context.Context, active: active_module.Active, grant: shares.Grant
) -> None:
    """Hands the pieces of the answer to the caller, and counts them."""
    work = active.work
    stream = attempts.pieces(ctx, active)
    async with contextlib.aclosing(stream):
        async for part in stream:
            if isinstance(part, piece.Items):
                active.delivered += len(part.items)
                if work.kind != spec.CALL:
                    grant.charge(len(part.items))
            active.delivery.put(part)
    if work.kind != spec.CALL:
        ctx.lengths.observe(work.target, work.profile_name, active.delivered)


def _report(
    active: active_module.Active, error: request_error.RequestError | None
) -> None:
    """Logs and counts the end of a request."""
    code = error.code if error is not None else 'ok'
    seconds = time.monotonic() - active.accepted
    _requests.inc({'code': code, 'kind': active.work.kind})
    _seconds.observe({'kind': active.work.kind}, seconds)
    _log.info(
        'request_ended',
        request=active.work.request,
        account=active.work.account,
        profile=active.work.profile_name,
        target=active.work.target,
        code=code,
        ran=str(error.ran) if error is not None else 'yes',
        attempts=active.attempts,
        delivered=active.delivered,
        seconds=round(seconds, 4),
    )
