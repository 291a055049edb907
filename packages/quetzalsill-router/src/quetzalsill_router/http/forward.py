"""Passes a cancellation on to the router that runs the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import blacksheep

from quetzalsill.net import client
from quetzalsill.net import error as net_error
from quetzalsill.telemetry import log

if TYPE_CHECKING:
    from quetzalsill_router import context
    from quetzalsill_router.durable import registration

__all__ = ['cancel', 'was_forwarded']

HEADER = b'x-quetzalsill-forwarded'
TIMEOUT_S = 3.0
MAX_ASKED = 8
ACCEPTED = 202

logger = log.get(__name__)


def was_forwarded(request: blacksheep.Request) -> bool:
    """Whether another router sent this; it is not passed on again."""
    return request.has_header(HEADER)


async def cancel(
    ctx: context.Context, request: blacksheep.Request, ident: str
) -> bool:
    """Asks other routers to cancel a request; True if one runs it.

    The id names the router that accepted it. After a takeover another one
    runs it, and a few of the rest are asked.
    """
    token = request.get_first_header(b'authorization') or b''
    headers = [(b'authorization', token), (HEADER, b'1')]
    for router in _in_order(ctx, ident)[:MAX_ASKED]:
        if await _ask(ctx, router, headers, ident):
            return True
    return False


def _in_order(ctx: context.Context, ident: str) -> list[registration.Router]:
    """Returns the other live routers, the accepting one first."""
    others = [
        router
        for router in ctx.registration.live_routers()
        if router.node != ctx.settings.node.name and router.address
    ]

    def is_other(router: registration.Router) -> bool:
        return not ident.startswith(f'{router.node}.{router.incarnation}.')

    return sorted(others, key=is_other)


async def _ask(
    ctx: context.Context,
    router: registration.Router,
    headers: list[tuple[bytes, bytes]],
    ident: str,
) -> bool:
    """Asks one router; False also if it does not answer."""
    tls = ctx.settings.tls
    scheme = 'https' if tls.certificate else 'http'
    url = f'{scheme}://{router.address}/v1/requests/{ident}'
    async with client.session(timeout_s=TIMEOUT_S, tls=tls) as session:
        try:
            response = await session.send(
                blacksheep.Request('DELETE', url.encode(), headers)
            )
        except net_error.NetError as exc:
            logger.info('forward_failed', router=router.node, detail=str(exc))
            return False
        return response.status == ACCEPTED
