"""`/services/{name}/...`: plain HTTP services."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

import blacksheep

from quetzalsill.error import request as request_error
from quetzalsill_router.http import (
    asgi,
    auth,
    body,
    caller,
    error,
    relay,
    submit,
)
from quetzalsill_router.request import accept, field, piece, spec
from quetzalsill_router.request import route as route_module

if TYPE_CHECKING:
    from quetzalsill.config import model
    from quetzalsill_router import context
    from quetzalsill_router.request import active

__all__ = ['mount']

PREFIX = '/services/'
METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
MAX_FIRST_BYTES = 1_048_576
MAX_PATH = 8192


def mount(
    app: blacksheep.Application,
    ctx: context.Context,
    authenticator: auth.Authenticator,
) -> None:
    """Adds the routes of plain services to the application."""

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        accept.check_accepting(ctx)
        identity = authenticator.identify(request)
        work = await _work(ctx, identity, request)
        accepted = await submit.submit(ctx, identity, work, is_attended=True)
        if isinstance(accepted, submit.Duplicate):
            return await submit.replay(ctx, accepted, as_events=False)
        if work.body is None:
            caller.watch_disconnect(request, accepted)
        try:
            return await _respond(accepted, asgi.drain_of(request.scope))
        except request_error.RequestError as exc:
            return error.response(exc, accepted.work.request)

    for method in METHODS:
        app.router.add(method, f'{PREFIX}*', handle)


async def _work(
    ctx: context.Context, identity: auth.Caller, request: blacksheep.Request
) -> spec.Work:
    """Builds the work of a call.

    Raises:
      RequestError: The call does not match the configuration.
    """
    name, path = _target(request)
    cfg = ctx.holder.current
    service = cfg.services.get(name)
    if service is None:
        raise request_error.NotFoundError(f'no service {name!r}')
    route = route_module.pick_route(service, request.method, path)
    if route is None:
        raise request_error.NotFoundError(
            f'service {name} has no route for {request.method} {path}'
        )
    profile_name, profile = accept.pick_profile(
        cfg, identity, caller.profile_name(request)
    )
    key = caller.idempotency_key(request)
    first, rest = await _body(request, route, read_all=bool(key))
    work = spec.Work(
        request='',
        account=identity.name,
        profile_name=profile_name,
        profile=profile,
        target=name,
        kind=spec.CALL,
        payload=first,
        deadline=time.monotonic() + route.timeout_s,
        idempotent=route.idempotent,
        revision=cfg.revision,
        stream=True,
        method=request.method,
        path=path,
        headers=relay.request_headers(request.headers),
        trace=caller.traceparent(request),
        key=key,
    )
    if rest is not None:
        work.body = _body_then_watch(ctx, request, work, rest)
    return work


async def _body_then_watch(
    ctx: context.Context,
    request: blacksheep.Request,
    work: spec.Work,
    rest: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    """Yields the rest of the body, then watches for a caller disconnect.

    An earlier watch would consume parts of the body.
    """
    async for data in rest:
        yield data
    running = ctx.active.get(work.request)
    if running is not None:
        caller.watch_disconnect(request, running)


def _target(request: blacksheep.Request) -> tuple[str, str]:
    """Returns the service name, and the path below it with its query.

    The path is forwarded percent-encoded as received: a decoded path could
    contain line breaks and inject headers into the upstream request.
    """
    raw = request.scope['raw_path'].decode('latin-1')
    query = request.scope.get('query_string', b'').decode('latin-1')
    name, slash, rest = raw[len(PREFIX) :].partition('/')
    path = f'/{rest}' + (f'?{query}' if query else '')
    if len(path) > MAX_PATH:
        raise field.FieldError('path', f'longer than {MAX_PATH} characters')
    if not path.isascii() or not path.isprintable() or ' ' in path:
        raise field.FieldError('path', 'must be printable ASCII, encoded')
    return name, path


async def _body(
    request: blacksheep.Request, route: model.Route, read_all: bool
) -> tuple[bytes, AsyncIterator[bytes] | None]:
    """Returns the first bytes of the body, and an iterator over the rest.

    A call with an idempotency key is read completely, as its digest must
    cover the complete body.
    """
    remaining = body.chunks(request, route.max_body_bytes)
    first = bytearray()
    async for data in remaining:
        first += data
        if len(first) >= MAX_FIRST_BYTES:
            break
    else:
        return bytes(first), None
    if read_all:
        raise request_error.TooLargeError(
            'a call with an idempotency key holds below '
            f'{MAX_FIRST_BYTES} bytes'
        )
    return bytes(first), remaining


async def _respond(
    running: active.ActiveRequest, drain: asgi.Drain
) -> blacksheep.Response:
    """Returns the upstream's response head and streams its body.

    Raises:
      RequestError: The call failed before the response head.
    """
    delivery = running.delivery
    await delivery.wait()
    parts = delivery.take()
    if not parts or not isinstance(parts[0], piece.Head):
        raise delivery.error or request_error.UpstreamFailedError(
            'the upstream answered without a head'
        )
    head, early = parts[0], parts[1:]
    response = relay.response(head.status, head.headers)
    response.add_header(b'x-request-id', running.work.request.encode())
    if head.status in relay.STATUSES_WITHOUT_BODY:
        return response

    async def produce() -> AsyncIterator[bytes]:
        async for data in _body_chunks(running, early, drain):
            yield data

    response.content = blacksheep.StreamedContent(
        relay.content_type(head.headers), produce, _content_length(head)
    )
    return response


def _content_length(head: piece.Head) -> int:
    """Returns the upstream's content length; -1 if it gave none."""
    for name, value in head.headers:
        if name.lower() == 'content-length' and value.isdecimal():
            return int(value)
    return -1


async def _body_chunks(
    running: active.ActiveRequest, early: list[piece.Piece], drain: asgi.Drain
) -> AsyncIterator[bytes]:
    """Yields the body as it arrives.

    Raises:
      TruncatedAnswerError: The call failed midway. The connection is closed
        before the end of the body, so that the caller sees it is incomplete.
    """
    delivery = running.delivery
    parts = early
    while True:
        data = b''.join(item for part in parts for item in part.items)
        if data:
            yield data
            await drain()
        for part in parts:
            part.release()
        if delivery.disconnected or (delivery.ended and not parts):
            break
        await delivery.wait()
        parts = delivery.take()
    if delivery.error is not None and not delivery.disconnected:
        raise asgi.TruncatedAnswerError(
            delivery.error.detail, ran=delivery.error.ran
        )
