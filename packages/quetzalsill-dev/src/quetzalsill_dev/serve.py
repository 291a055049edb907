"""Serves the HTTP application of a stand-in until SIGTERM.

It does not use `quetzalsill.net`, so that a fault there is not also present
on the other side of the connection, where it would hide from the tests.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import uvicorn
from uvicorn.protocols.http import httptools_impl

if TYPE_CHECKING:
    import blacksheep

__all__ = ['announce', 'run']

BACKLOG = 2048
SHUTDOWN_GRACE_S = 1
KEEP_ALIVE_TIMEOUT_S = 300


def announce(port: int) -> None:
    """Prints the readiness line that the launcher waits for."""
    print(f'ready port={port}', flush=True)


def run(
    app: blacksheep.Application,
    host: str,
    port: int,
    protocol: type[asyncio.Protocol] = httptools_impl.HttpToolsProtocol,
) -> None:
    """Serves `app` until SIGTERM; port 0 selects a free port."""
    asyncio.run(_serve(app, host, port, protocol))


class _AnnouncingServer(uvicorn.Server):
    """Server that prints its port once it accepts connections."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        if self.started and sockets:
            announce(sockets[0].getsockname()[1])


async def _serve(
    app: blacksheep.Application,
    host: str,
    port: int,
    protocol: type[asyncio.Protocol],
) -> None:
    listener = socket.create_server((host, port), backlog=BACKLOG)
    # asyncio disables Nagle's algorithm only on sockets created with an
    # explicit TCP protocol number, which sockets accepted by this listener are
    # not: each first token would wait up to 40 ms for the acknowledgement of
    # the response head.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    cfg = uvicorn.Config(
        app,
        loop='asyncio',
        http=protocol,
        ws='none',
        log_level='warning',
        access_log=False,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        timeout_graceful_shutdown=SHUTDOWN_GRACE_S,
    )
    await _AnnouncingServer(cfg).serve([listener])
