"""`POST /v1/completions`, `/v1/chat/completions` and `GET /v1/models`."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import blacksheep

from quetzalsill_router.http import answer, auth, body, caller, generation
from quetzalsill_router.request import accept, serve, spec

if TYPE_CHECKING:
    from quetzalsill_router import context

__all__ = ['mount']

JSON_TYPE = b'application/json'
OWNER = 'quetzalsill'

Handler = Callable[[blacksheep.Request], Awaitable[blacksheep.Response]]


def mount(
    app: blacksheep.Application, ctx: context.Context, callers: auth.Callers
) -> None:
    """Adds the routes of generations to the application."""
    add = app.router.add
    add('POST', '/v1/completions', _handler(ctx, callers, spec.COMPLETION))
    add('POST', '/v1/chat/completions', _handler(ctx, callers, spec.CHAT))
    add('GET', '/v1/models', _models(ctx, callers))


def _handler(ctx: context.Context, callers: auth.Callers, kind: str) -> Handler:
    """Makes the handler of one kind of generation."""

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        accept.check_open(ctx)
        identity = callers.identify(request)
        plain = await body.read_object(
            request, ctx.settings.requests.max_body_bytes
        )
        asked = generation.parse(kind, plain)
        work = accept.generation_work(
            ctx,
            identity,
            asked,
            caller.profile_name(request),
            caller.idempotency_key(request),
        )
        work.trace = caller.traceparent(request)
        work.request = ctx.idents.request()
        grant = ctx.limiter.admit(
            identity.name,
            identity.account.limits,
            ctx.lengths.estimate(
                work.target, work.profile_name, work.max_tokens
            ),
        )
        running = serve.start(ctx, work, grant)
        caller.watch(request, running)
        return await _respond(ctx, running, asked)

    return handle


async def _respond(
    ctx: context.Context,
    running: serve.Active,
    asked: generation.Generation,
) -> blacksheep.Response:
    """Answers as the caller asked, stream or document."""
    keep_alive_s = ctx.settings.requests.keep_alive_s
    if asked.stream:
        response = await answer.stream(running, keep_alive_s, asked.usage)
    else:
        response = await answer.whole(running)
    response.add_header(b'x-request-id', running.work.request.encode())
    return response


def _models(ctx: context.Context, callers: auth.Callers) -> Handler:
    """Makes the handler that lists the models."""

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        callers.identify(request)
        listed = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': OWNER}
            for name in sorted(ctx.holder.current.models)
        ]
        document = json.dumps({'object': 'list', 'data': listed})
        content = blacksheep.Content(JSON_TYPE, document.encode())
        return blacksheep.Response(200, None, content)

    return handle
