"""The HTTP application of a router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import blacksheep
from blacksheep.server import routing

from quetzalsill.error import request as request_error
from quetzalsill.telemetry import log
from quetzalsill_router.http import auth, body, completions, error, health

if TYPE_CHECKING:
    from quetzalsill_router import context

__all__ = ['build']

_log = log.get(__name__)


def build(ctx: context.Context) -> blacksheep.Application:
    """Builds the application with the callers' API."""
    app = blacksheep.Application(router=routing.Router())
    callers = auth.Callers(ctx.holder)
    completions.mount(app, ctx, callers)
    health.mount(app, ctx)
    app.exceptions_handlers[request_error.RequestError] = _refused
    app.exceptions_handlers[body.CallerLeftError] = _left
    app.exceptions_handlers[404] = _not_found
    app.exceptions_handlers[Exception] = _fault
    return app


async def _refused(
    app: blacksheep.Application,
    request: blacksheep.Request,
    exc: request_error.RequestError,
) -> blacksheep.Response:
    """Answers a request that failed before its answer began."""
    _log.info(
        'request_refused',
        method=request.method,
        path=request.url.path.decode('latin-1'),
        code=exc.code,
        status=exc.status,
        detail=exc.detail,
    )
    return error.response(exc)


async def _left(
    app: blacksheep.Application,
    request: blacksheep.Request,
    exc: body.CallerLeftError,
) -> blacksheep.Response:
    """Stands for an answer that nobody is there to read."""
    return blacksheep.Response(400)


async def _not_found(
    app: blacksheep.Application, request: blacksheep.Request, exc: Exception
) -> blacksheep.Response:
    """Answers a path that does not exist."""
    return error.response(
        request_error.NotFoundError(
            f'no {request.method} {request.url.path.decode("latin-1")}'
        )
    )


async def _fault(
    app: blacksheep.Application, request: blacksheep.Request, exc: Exception
) -> blacksheep.Response:
    """Answers after a fault of our own code."""
    _log.error('http_fault', path=request.url.path.decode('latin-1'))
    return error.response(
        request_error.RequestError(f'internal fault: {type(exc).__name__}')
    )
