"""Forwards calls about a request to the router that runs it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import blacksheep

from quetzalsill.net import client
from quetzalsill.net import error as net_error
from quetzalsill_router import event
from quetzalsill_router.request import ident as request_ident

if TYPE_CHECKING:
    from quetzalsill_router import context
    from quetzalsill_router.durable import registration

__all__ = [
    'ForwardResult',
    'fetch_from_acceptor',
    'forward_to_owner',
    'was_forwarded',
]

FORWARDED_HEADER = b'x-quetzalsill-forwarded'
TIMEOUT_S = 3.0
MAX_ROUTERS = 8
COPIED_HEADERS = frozenset(
    (b'x-request-id', b'x-should-retry', b'retry-after', b'location')
)


@dataclasses.dataclass(slots=True)
class ForwardResult:
    """Responses of other routers about a request.

    Attributes:
      body: Response body of the router that runs it; None if none does.
      unreachable: Names of the routers that did not respond.
    """

    body: bytes | None = None
    unreachable: list[str] = dataclasses.field(default_factory=list)


def was_forwarded(request: blacksheep.Request) -> bool:
    """Whether another router sent this; then it is not forwarded again."""
    return request.has_header(FORWARDED_HEADER)


async def forward_to_owner(
    ctx: context.Context,
    request: blacksheep.Request,
    prefix: str,
    request_id: str,
    accepted: int,
) -> ForwardResult:
    """Forwards a call to other routers until one runs the request.

    The request id names the router that accepted it. After a takeover another
    router runs it, so up to `MAX_ROUTERS` routers are queried.

    Args:
      ctx: This router.
      request: The call; its method and credential are forwarded.
      prefix: Path of the call before the request id.
      request_id: Id of the request.
      accepted: HTTP status that means that a router runs the request.
    """
    result = ForwardResult()
    for router in _other_routers(ctx, request_id)[:MAX_ROUTERS]:
        try:
            response = await _send(
                ctx, router, request, f'{prefix}/{request_id}'
            )
            if response.status == accepted:
                result.body = await response.read() or b''
                break
        except net_error.NetError as exc:
            event.note(event.ForwardFailed(router=router.node, detail=str(exc)))
            result.unreachable.append(router.node)
    return result


async def fetch_from_acceptor(
    ctx: context.Context,
    request: blacksheep.Request,
    prefix: str,
    request_id: str,
) -> blacksheep.Response | None:
    """Forwards a call to the router that accepted the request.

    Returns:
      Its response; None if that router is not live or is this one.
    """
    if was_forwarded(request):
        return None
    for router in _other_routers(ctx, request_id)[:1]:
        if request_ident.was_accepted_by(
            request_id, router.node, router.incarnation
        ):
            return await _fetch(ctx, router, request, f'{prefix}/{request_id}')
    return None


async def _fetch(
    ctx: context.Context,
    router: registration.Router,
    request: blacksheep.Request,
    path: str,
) -> blacksheep.Response | None:
    """Returns a copy of a router's response; None if it fails."""
    try:
        response = await _send(ctx, router, request, path)
        data = await response.read() or b''
    except net_error.NetError as exc:
        event.note(event.ForwardFailed(router=router.node, detail=str(exc)))
        return None
    content_type = response.get_first_header(b'content-type') or b''
    headers = [
        pair for pair in response.headers if pair[0].lower() in COPIED_HEADERS
    ]
    content = blacksheep.Content(content_type, data)
    return blacksheep.Response(response.status, headers, content)


def _other_routers(
    ctx: context.Context, request_id: str
) -> list[registration.Router]:
    """Returns the other live routers, the one that accepted first."""
    others = [
        router
        for router in ctx.registration.live_routers()
        if router.node != ctx.settings.node.name and router.address
    ]

    def did_not_accept(router: registration.Router) -> bool:
        return not request_ident.was_accepted_by(
            request_id, router.node, router.incarnation
        )

    return sorted(others, key=did_not_accept)


async def _send(
    ctx: context.Context,
    router: registration.Router,
    request: blacksheep.Request,
    path: str,
) -> blacksheep.Response:
    """Sends the call to a router."""
    tls = ctx.settings.tls
    scheme = 'https' if tls.certificate else 'http'
    url = f'{scheme}://{router.address}{path}'
    token = request.get_first_header(b'authorization') or b''
    headers = [(b'authorization', token), (FORWARDED_HEADER, b'1')]
    if accept := request.get_first_header(b'accept'):
        headers.append((b'accept', accept))
    async with client.session(timeout_s=TIMEOUT_S, tls=tls) as session:
        return await session.send(
            blacksheep.Request(request.method, url.encode(), headers)
        )
