"""`/v1/requests/{id}`: fetch and cancel requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

# Needed at run time: blacksheep evaluates the annotations of handlers.
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
    """Adds the routes to fetch and cancel requests."""
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
            # Only the router that accepted a request knows it, unless it is
            # journaled.
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
    """Returns the outcome of a request, or a pending response."""
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
        failure = _not_running(request_id)
        try:
            lookup = await ctx.answers.get(account, request_id)
        except request_error.NotFoundError as exc:
            # A request that is not durable is not stored; only the router
            # that runs it knows it.
            failure = exc
        else:
            if lookup.answer is not None:
                return stored.render(request_id, lookup.answer, as_events=False)
        if await _cancel_elsewhere(ctx, request, request_id):
            return stored.pending(request_id)
        raise failure

    return handle


async def _cancel_elsewhere(
    ctx: context.Context, request: blacksheep.Request, request_id: str
) -> bool:
    """Cancels at another router; returns whether one runs the request."""
    if forward.was_forwarded(request):
        return False
    result = await forward.forward_to_owner(
        ctx, request, PREFIX, request_id, ACCEPTED
    )
    return result.body is not None


def _not_running(request_id: str) -> request_error.ConflictError:
    return request_error.ConflictError(
        f'request {request_id} is not running at any router that answers',
        ran=base.Ran.UNKNOWN,
        retry_after_s=1.0,
    )


def _account(
    authenticator: auth.Authenticator, request: blacksheep.Request
) -> str:
    """Returns the name of the caller's account.

    Raises:
      RequestError: The account is unknown. The request with this id may still
        have run, so the error must not state "not run".
    """
    try:
        return authenticator.identify(request).name
    except request_error.RequestError as exc:
        exc.ran = base.Ran.UNKNOWN
        raise


def _runs_here(ctx: context.Context, account: str, request: str) -> bool:
    """Whether this router runs the request for the account."""
    running = ctx.active.get(request)
    return running is not None and running.work.account == account


def _request_id(request: blacksheep.Request) -> str:
    """Returns the request id in the path.

    Raises:
      NotFoundError: The value is not a request id.
    """
    value = request.route_values['request']
    if not ident.is_request_id(value):
        raise request_error.NotFoundError('not a request id')
    return value


def _wants_events(request: blacksheep.Request) -> bool:
    """Whether the caller accepts server-sent events."""
    raw = request.get_first_header(b'accept') or b''
    return b'text/event-stream' in raw.lower()
