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
    """Adds the routes of generations to the application."""
    add = app.router.add
    add(
        'POST', '/v1/completions', _handler(ctx, authenticator, spec.COMPLETION)
    )
    add('POST', '/v1/chat/completions', _handler(ctx, authenticator, spec.CHAT))
    add('GET', '/v1/models', _models(ctx, authenticator))


def _handler(
    ctx: context.Context, authenticator: auth.Authenticator, kind: str
) -> Handler:
    """Makes the handler of one kind of generation."""

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        accept.check_accepting(ctx)
        identity = authenticator.identify(request)
        plain = await body.read_object(
            request, ctx.settings.requests.max_body_bytes
        )
        asked = generation.parse(kind, plain)
        work = accept.build_generation_work(
            ctx,
            identity,
            asked,
            caller.profile_name(request),
            caller.idempotency_key(request),
        )
        work.trace = caller.traceparent(request)
        later = work.durable and caller.prefers_async(request)
        accepted = await submit.submit(ctx, identity, work, not later)
        if isinstance(accepted, submit.Duplicate):
            return await submit.replay(ctx, accepted, asked.stream)
        if later:
            return stored.pending(work.request)
        caller.watch_disconnect(request, accepted)
        drained = asgi.drain_of(request.scope)
        return await _respond(ctx, accepted, asked, drained)

    return handle


async def _respond(
    ctx: context.Context,
    running: active.ActiveRequest,
    asked: generation.Generation,
    drained: asgi.Drain,
) -> blacksheep.Response:
    """Answers as the caller asked, with events or one document."""
    request = running.work.request
    keep_alive_s = ctx.settings.requests.keep_alive_s
    try:
        if asked.stream:
            response = await answer.event_stream_response(
                running, drained, keep_alive_s, asked.include_usage
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
        listed = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': OWNER}
            for name in sorted(ctx.holder.current.models)
        ]
        document = json.dumps({'object': 'list', 'data': listed})
        content = blacksheep.Content(JSON_TYPE, document.encode())
        return blacksheep.Response(200, None, content)

    return handle
