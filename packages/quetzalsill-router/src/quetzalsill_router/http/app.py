"""The HTTP application of a router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import blacksheep
from blacksheep.server import routing

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill_router import event
from quetzalsill_router.http import (
    auth,
    completions,
    error,
    health,
    requests,
    services,
)

if TYPE_CHECKING:
    from quetzalsill_router import context

__all__ = ['build']


def build(ctx: context.Context) -> blacksheep.Application:
    """Builds the application that serves the API for callers."""
    app = blacksheep.Application(router=routing.Router())
    authenticator = auth.Authenticator(ctx.holder)
    completions.mount(app, ctx, authenticator)
    requests.mount(app, ctx, authenticator)
    services.mount(app, ctx, authenticator)
    health.mount(app, ctx)
    _handle_failures(app, ctx)
    return app


def _handle_failures(app: blacksheep.Application, ctx: context.Context) -> None:
    """Renders every failure as an error response of the same format."""

    def error_response(
        request: blacksheep.Request, exc: request_error.RequestError
    ) -> blacksheep.Response:
        request_id = exc.request or ctx.request_ids.next()
        event.note(
            event.RequestRefused(
                request=request_id,
                method=request.method,
                path=request.url.path.decode('latin-1'),
                code=exc.code,
                status=exc.status,
                detail=exc.detail,
            )
        )
        return error.response(exc, request_id)

    async def on_request_error(
        app: blacksheep.Application,
        request: blacksheep.Request,
        exc: request_error.RequestError,
    ) -> blacksheep.Response:
        return error_response(request, exc)

    async def on_not_found(
        app: blacksheep.Application,
        request: blacksheep.Request,
        exc: Exception,
    ) -> blacksheep.Response:
        return error_response(
            request, request_error.NotFoundError('no such path')
        )

    async def on_unexpected_error(
        app: blacksheep.Application,
        request: blacksheep.Request,
        exc: Exception,
    ) -> blacksheep.Response:
        event.note(event.HttpFault(), exc=exc)
        return error_response(
            request,
            request_error.RequestError(
                f'internal fault: {type(exc).__name__}', ran=base.Ran.UNKNOWN
            ),
        )

    app.exceptions_handlers[request_error.RequestError] = on_request_error
    app.exceptions_handlers[404] = on_not_found
    app.exceptions_handlers[Exception] = on_unexpected_error
