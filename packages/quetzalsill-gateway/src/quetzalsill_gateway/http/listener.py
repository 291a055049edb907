"""HTTP server for callers."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable

from quetzalsill.net import client_memory, inbound
from quetzalsill.net import turns as turns_lib
from quetzalsill_gateway.http import connection, early_socket
from quetzalsill_gateway.http import limits as limits_lib

__all__ = ['Handler', 'Limits', 'Listener', 'TimeLimit']

TIMEOUT_CHECK_S = 0.5
# Connections accepted in one iteration of the event loop.
ACCEPT_BATCH = 32

Handler = connection.Handler
Limits = limits_lib.Limits
TimeLimit = connection.TimeLimit


class Listener:
    """Accepts connections of callers and serves their requests.

    Attributes:
      connections: The open connections.
      stopping: Set while the process stops; each response then closes its
        connection.
      ledger: What callers hold.
      turns: Divides the time for parsing between connections.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits],
        bounds: client_memory.Bounds | None = None,
        time_limit: TimeLimit = lambda target, fields: math.inf,
    ) -> None:
        """Initializes a listener.

        Args:
          handler: Serves one request.
          limits: Returns the current limits.
          bounds: What all callers may hold together; defaults if None.
          time_limit: Returns in which time a request can be served.
        """
        self.handler = handler
        self.limits = limits
        self.time_limit = time_limit
        self.ledger = client_memory.Ledger(bounds or client_memory.Bounds())
        self.turns = turns_lib.Turns()
        self.connections: set[connection.Connection] = set()
        self.stopping = False
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """The port being listened on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host: str, port: int) -> None:
        """Opens the listener; port 0 lets the kernel choose."""
        loop = asyncio.get_running_loop()
        sock = early_socket.take(host, port) or early_socket.bind(host, port)
        # Accepted connections inherit it. Without a fixed size, the kernel
        # receives megabytes for a connection that is no longer read.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, inbound.RECEIVE_BUFFER_BYTES
        )
        self._server = await loop.create_server(
            lambda: connection.Connection(self), sock=sock, backlog=ACCEPT_BATCH
        )
        # The server accepts as many connections at once as its queue may hold.
        sock.listen(early_socket.BACKLOG)

    async def enforce_timeouts(self) -> None:
        """Closes connections whose callers time out; runs until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_S)
            now = loop.time()
            limits = self.limits()
            for conn in list(self.connections):
                conn.check_timeouts(now, limits)
            self.ledger.enforce()

    def close_idle(self, min_idle_s: float) -> None:
        """Closes connections that have been idle or stalled for some time.

        Args:
          min_idle_s: Time in seconds in which a request arrives that a caller
            sent as soon as it had its response. It is answered; closing the
            connection would leave its caller without an answer.
        """
        now = asyncio.get_running_loop().time()
        for conn in list(self.connections):
            idle_s = conn.idle_s(now)
            if idle_s is not None and idle_s >= min_idle_s:
                conn.close()
            elif conn.stalled_s(now) > self.limits().header_s:
                conn.evict()

    def stop(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()
