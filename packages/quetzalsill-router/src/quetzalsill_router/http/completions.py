"""`POST /v1/completions`, `/v1/chat/completions` and `GET /v1/models`."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import blacksheep

from quetzalsill.error import request as request_error
from quetzalsill_router.http import (
    answer,
    asgi,
    auth,
    body,
    caller,
    error,
    generation,
    stored,
    submit,
)
from quetzalsill_router.request import accept, spec

if TYPE_CHECKING:
    from quetzalsill_router import context
    from quetzalsill_router.request import active

__all__ = ['mount']

JSON_TYPE = b'application/json'
OWNER = 'quetzalsill'

Handler = Callable[[blacksheep.Request], Awaitable[blacksheep.Response]]


def mount(
    app: blacksheep.Application,
    ctx: context.Context,
    authenticator: auth.Authenticator,
) -> None:
    """Adds the generation and model routes to the application."""
    add = app.router.add
    add(
        'POST', '/v1/completions', _handler(ctx, authenticator, spec.COMPLETION)
    )
    add('POST', '/v1/chat/completions', _handler(ctx, authenticator, spec.CHAT))
    add('GET', '/v1/models', _models(ctx, authenticator))


def _handler(
    ctx: context.Context, authenticator: auth.Authenticator, kind: str
) -> Handler:
    """Makes the handler for one kind of generation request."""

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        accept.check_accepting(ctx)
        identity = authenticator.identify(request)
        body_object = await body.read_object(
            request, ctx.settings.requests.max_body_bytes
        )
        parsed = generation.parse(kind, body_object)
        work = accept.build_generation_work(
            ctx,
            identity,
            parsed,
            caller.profile_name(request),
            caller.idempotency_key(request),
        )
        work.trace = caller.traceparent(request)
        is_async = work.durable and caller.prefers_async(request)
        accepted = await submit.submit(ctx, identity, work, not is_async)
        if isinstance(accepted, submit.Duplicate):
            return await submit.replay(ctx, accepted, parsed.stream)
        if is_async:
            return stored.pending(work.request)
        caller.watch_disconnect(request, accepted)
        drain = asgi.drain_of(request.scope)
        return await _respond(ctx, accepted, parsed, drain)

    return handle


async def _respond(
    ctx: context.Context,
    running: active.ActiveRequest,
    parsed: generation.Generation,
    drain: asgi.Drain,
) -> blacksheep.Response:
    """Returns an event stream or one document, as the caller requested."""
    request = running.work.request
    keep_alive_s = ctx.settings.requests.keep_alive_s
    try:
        if parsed.stream:
            response = await answer.event_stream_response(
                running, drain, keep_alive_s, parsed.include_usage
            )
        else:
            response = await answer.complete_response(running)
    except request_error.RequestError as exc:
        return error.response(exc, request)
    response.add_header(b'x-request-id', request.encode())
    return response


def _models(ctx: context.Context, authenticator: auth.Authenticator) -> Handler:
    """Makes the handler that lists the models."""

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        authenticator.identify(request)
        models = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': OWNER}
            for name in sorted(ctx.holder.current.models)
        ]
        document = json.dumps({'object': 'list', 'data': models})
        content = blacksheep.Content(JSON_TYPE, document.encode())
        return blacksheep.Response(200, None, content)

    return handle
