"""`/v1/requests/{id}`: fetch and cancel requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

# Needed at run time: blacksheep reads the annotations of handlers.
import blacksheep  # noqa: TC002

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill_router.http import auth, caller, forward, stored
from quetzalsill_router.request import field, ident, journaling

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzalsill_router import context

    Handler = Callable[[blacksheep.Request], Awaitable[blacksheep.Response]]

__all__ = ['mount']

PREFIX = '/v1/requests'
PATH = f'{PREFIX}/:request'
ACCEPTED = 202
CANCEL_REASON = 'cancelled by the caller'


def mount(
    app: blacksheep.Application,
    ctx: context.Context,
    authenticator: auth.Authenticator,
) -> None:
    """Adds the routes of stored requests to the application."""
    app.router.add('GET', PREFIX, _fetch_by_key(ctx, authenticator))
    app.router.add('GET', PATH, _fetch(ctx, authenticator))
    app.router.add('DELETE', PATH, _cancel(ctx, authenticator))


def _fetch(ctx: context.Context, authenticator: auth.Authenticator) -> Handler:
    """Makes the handler that fetches an answer."""

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        account = _account(authenticator, request)
        request_id = _request_id(request)
        try:
            return await _answer(
                ctx, account, request_id, _wants_events(request)
            )
        except request_error.UnknownRequestError:
            # What is not journalled only the router knows that took it.
            answer = await forward.fetch_from_acceptor(
                ctx, request, PREFIX, request_id
            )
            if answer is None:
                raise
            return answer

    return handle


def _fetch_by_key(
    ctx: context.Context, authenticator: auth.Authenticator
) -> Handler:
    """Makes the handler that fetches an answer by its idempotency key."""

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        account = _account(authenticator, request)
        keys = request.query.get('idempotency_key', [])
        if len(keys) != 1 or not caller.IDEMPOTENCY_KEY.fullmatch(keys[0]):
            raise field.FieldError(
                'idempotency_key', 'must be given once, as it was sent'
            )
        request_id = await journaling.key_holder(ctx, account, keys[0])
        return await _answer(ctx, account, request_id, _wants_events(request))

    return handle


async def _answer(
    ctx: context.Context, account: str, request_id: str, as_events: bool
) -> blacksheep.Response:
    """Answers with the outcome of a request, or that it has none yet."""
    if _runs_here(ctx, account, request_id):
        return stored.pending(request_id)
    answer = ctx.recent.get(account, request_id)
    if answer is None:
        answer = (await ctx.answers.get(account, request_id)).answer
    if answer is None:
        return stored.pending(request_id)
    return stored.render(request_id, answer, as_events)


def _cancel(ctx: context.Context, authenticator: auth.Authenticator) -> Handler:
    """Makes the handler that cancels a request."""

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        account = _account(authenticator, request)
        request_id = _request_id(request)
        if _runs_here(ctx, account, request_id):
            ctx.active.get(request_id).cancel(CANCEL_REASON)
            return stored.pending(request_id)
        failed = _not_running(request_id)
        try:
            found = await ctx.answers.get(account, request_id)
        except request_error.NotFoundError as exc:
            # Nothing is stored of a request that isn't durable; only the
            # router that runs it knows it.
            failed = exc
        else:
            if found.answer is not None:
                return stored.render(request_id, found.answer, as_events=False)
        if await _cancel_elsewhere(ctx, request, request_id):
            return stored.pending(request_id)
        raise failed

    return handle


async def _cancel_elsewhere(
    ctx: context.Context, request: blacksheep.Request, request_id: str
) -> bool:
    """Whether another router runs the request and has cancelled it."""
    if forward.was_forwarded(request):
        return False
    found = await forward.forward_to_owner(
        ctx, request, PREFIX, request_id, ACCEPTED
    )
    return found.body is not None


def _not_running(request_id: str) -> request_error.ConflictError:
    return request_error.ConflictError(
        f'request {request_id} is not running at any router that answers',
        ran=base.Ran.UNKNOWN,
        retry_after_s=1.0,
    )


def _account(
    authenticator: auth.Authenticator, request: blacksheep.Request
) -> str:
    """Returns the account that asks.

    Raises:
      RequestError: It is not known. That proves nothing about the request
        that is asked after, which may have run: "not run" would be untrue.
    """
    try:
        return authenticator.identify(request).name
    except request_error.RequestError as exc:
        exc.ran = base.Ran.UNKNOWN
        raise


def _runs_here(ctx: context.Context, account: str, request: str) -> bool:
    """Whether the account's request runs in this router."""
    running = ctx.active.get(request)
    return running is not None and running.work.account == account


def _request_id(request: blacksheep.Request) -> str:
    """Returns the request id of the path.

    Raises:
      NotFoundError: It has not the form of one.
    """
    found = request.route_values['request']
    if not ident.is_request_id(found):
        raise request_error.NotFoundError('not a request id')
    return found


def _wants_events(request: blacksheep.Request) -> bool:
    """Whether the caller asks for server-sent events."""
    raw = request.get_first_header(b'accept') or b''
    return b'text/event-stream' in raw.lower()
