"""A stand-in that runs in the current process."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import uvicorn

from quetzalsill_dev.platform_standin import app, host

if TYPE_CHECKING:
    from quetzalsill_dev.platform_standin import fault

__all__ = ['StandIn']

BACKLOG = 1024


class StandIn:
    """Serves one part of the platform on a loopback port.

    Attributes:
      faults: Fault switches and call counts, for tests in the same process.
      board: The host list.
      port: Port that it listens on.
    """

    def __init__(self, part: str, port: int = 0) -> None:
        self.board = host.HostBoard()
        self.faults: fault.Faults = app.build(part, self.board)
        self._socket = _listen(port)
        self.port: int = self._socket.getsockname()[1]
        cfg = uvicorn.Config(
            self.faults,
            loop='asyncio',
            http='httptools',
            log_level='warning',
            access_log=False,
            timeout_graceful_shutdown=1,
        )
        self._server = uvicorn.Server(cfg)
        self._task: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """Base URL."""
        return f'http://127.0.0.1:{self.port}'

    async def start(self) -> None:
        """Starts to serve in a background task.

        These are the steps of `uvicorn.Server.serve` without its signal
        handlers, which affect the whole process rather than one server.
        """
        cfg = self._server.config
        cfg.load()
        self._server.lifespan = cfg.lifespan_class(cfg)
        await self._server.startup(sockets=[self._socket])
        self._task = asyncio.create_task(self._server.main_loop())

    async def stop(self) -> None:
        """Closes all connections and stops serving."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
            await self._server.shutdown(sockets=[self._socket])
        self._socket.close()


def _listen(port: int) -> socket.socket:
    # asyncio sets TCP_NODELAY only on sockets whose protocol number is TCP's,
    # and socket.create_server leaves it 0. Without TCP_NODELAY each response,
    # which is written as head and body, waits about 40 ms for the client's
    # delayed acknowledgement.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(('127.0.0.1', port))
    sock.listen(BACKLOG)
    return sock
