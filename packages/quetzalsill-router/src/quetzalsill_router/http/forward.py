"""Passes calls about a request on to the router that runs it."""

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
    """What other routers said of a request.

    Attributes:
      body: Body of the answer of the one that runs it; None if none does.
      unreachable: Names of those asked that did not answer.
    """

    body: bytes | None = None
    unreachable: list[str] = dataclasses.field(default_factory=list)


def was_forwarded(request: blacksheep.Request) -> bool:
    """Whether another router sent this; it is not passed on again."""
    return request.has_header(FORWARDED_HEADER)


async def forward_to_owner(
    ctx: context.Context,
    request: blacksheep.Request,
    prefix: str,
    ident: str,
    accepted: int,
) -> ForwardResult:
    """Sends a call about a request to other routers until one runs it.

    The id names the router that accepted it. After a takeover another one
    runs it, and a few of the rest are asked.

    Args:
      ctx: This router.
      request: The call; its method and credential are passed on.
      prefix: Path of the call before the id.
      ident: Id of the request.
      accepted: Status by which a router says that it runs the request.
    """
    found = ForwardResult()
    for router in _other_routers(ctx, ident)[:MAX_ROUTERS]:
        try:
            answer = await _send(ctx, router, request, f'{prefix}/{ident}')
            if answer.status == accepted:
                found.body = await answer.read() or b''
                break
        except net_error.NetError as exc:
            event.note(event.ForwardFailed(router=router.node, detail=str(exc)))
            found.unreachable.append(router.node)
    return found


async def fetch_from_acceptor(
    ctx: context.Context, request: blacksheep.Request, prefix: str, ident: str
) -> blacksheep.Response | None:
    """Gives what the router that accepted a request answers to the call.

    Returns:
      Its answer; None if it does not live, or is this one.
    """
    if was_forwarded(request):
        return None
    for router in _other_routers(ctx, ident)[:1]:
        if request_ident.was_accepted_by(
            ident, router.node, router.incarnation
        ):
            return await _fetch(ctx, router, request, f'{prefix}/{ident}')
    return None


async def _fetch(
    ctx: context.Context,
    router: registration.Router,
    request: blacksheep.Request,
    path: str,
) -> blacksheep.Response | None:
    """Copies the answer of a router; None if it gives none."""
    try:
        answer = await _send(ctx, router, request, path)
        data = await answer.read() or b''
    except net_error.NetError as exc:
        event.note(event.ForwardFailed(router=router.node, detail=str(exc)))
        return None
    kind = answer.get_first_header(b'content-type') or b''
    headers = [
        pair for pair in answer.headers if pair[0].lower() in COPIED_HEADERS
    ]
    content = blacksheep.Content(kind, data)
    return blacksheep.Response(answer.status, headers, content)


def _other_routers(
    ctx: context.Context, ident: str
) -> list[registration.Router]:
    """Returns the other live routers, the accepting one first."""
    others = [
        router
        for router in ctx.registration.live_routers()
        if router.node != ctx.settings.node.name and router.address
    ]

    def is_other(router: registration.Router) -> bool:
        return not request_ident.was_accepted_by(
            ident, router.node, router.incarnation
        )

    return sorted(others, key=is_other)


async def _send(
    ctx: context.Context,
    router: registration.Router,
    request: blacksheep.Request,
    path: str,
) -> blacksheep.Response:
    """Sends the call to one router."""
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
