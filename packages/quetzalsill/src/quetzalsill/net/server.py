"""HTTP server that runs on the event loop of the process."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

import uvicorn

from quetzalsill import event
from quetzalsill.net import client_memory, error, inbound, protocol
from quetzalsill.net import tls as net_tls

if TYPE_CHECKING:
    from quetzalsill.settings import section

__all__ = ['HttpServer']

BACKLOG = 1024
# Connections accepted in one iteration of the event loop.
ACCEPT_BATCH = 32
DATE_INTERVAL_S = 1.0
CANCEL_TIMEOUT_S = 1.0


class HttpServer:
    """Serves an ASGI application.

    It does not change the signal handlers or other tasks of the process.
    """

    def __init__(
        self,
        app: Any,
        listen: section.Listen,
        tls: section.Tls | None = None,
        limits: protocol.Limits | None = None,
        bounds: client_memory.Bounds | None = None,
    ) -> None:
        """Initializes the server; `start` opens its listener.

        Args:
          app: ASGI application.
          listen: Address; port 0 lets the kernel choose.
          tls: Certificates; None or empty serves without TLS.
          limits: Limits on each client; defaults if None.
          bounds: What all clients may hold together; defaults if None.
        """
        limits = limits or protocol.Limits()
        self._listen = listen
        self._tls = tls
        self._handshake_timeout_s = limits.head_timeout_s
        self._connection_closed = asyncio.Event()
        self.ledger = client_memory.Ledger(bounds or client_memory.Bounds())
        config = uvicorn.Config(
            app,
            loop='asyncio',
            http=protocol.make_protocol_class(
                limits, self._connection_closed.set, self.ledger
            ),
            ws='none',
            lifespan='auto',
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            timeout_keep_alive=limits.idle_timeout_s,
            reset_contextvars=True,
        )
        config.load()
        self._config = config
        self._uvicorn = uvicorn.Server(config)
        self._lifespan = config.lifespan_class(config)
        self._server: asyncio.Server | None = None
        self._date_task: asyncio.Task[None] | None = None
        self.port = 0

    async def start(self) -> None:
        """Binds the address, starts the application and then listens.

        Raises:
          CertificateError: If the certificate files cannot be loaded.
          ListenError: If the application fails to start, or the address
            cannot be bound.
        """
        context = net_tls.server_context(self._tls) if self._tls else None
        sock = self._bind()
        await self._lifespan.startup()
        if self._lifespan.should_exit:
            sock.close()
            raise error.ListenError('the application did not start')
        self.port = sock.getsockname()[1]
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol,
            sock=sock,
            ssl=context,
            backlog=ACCEPT_BATCH,
            ssl_handshake_timeout=self._handshake_timeout_s
            if context
            else None,
        )
        # The server accepts as many connections at once as its queue may hold.
        sock.listen(BACKLOG)
        self._date_task = asyncio.create_task(self._refresh_date())

    async def stop(self, grace_s: float) -> int:
        """Stops listening and waits for the requests in flight.

        Idle connections are closed at once, others after their response.

        Args:
          grace_s: How long requests in flight may take.

        Returns:
          Number of requests that still ran after that and were aborted.
        """
        if self._server is None:
            return 0
        self._server.close()
        self._server = None
        for conn in list(self._connections):
            conn.shutdown()
        await self._drain(grace_s)
        aborted = await self._abort_remaining()
        self._date_task.cancel()
        await asyncio.gather(self._date_task, return_exceptions=True)
        await self._lifespan.shutdown()
        return aborted

    @property
    def running(self) -> int:
        """Number of requests in flight."""
        return len(self._uvicorn.server_state.tasks)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def _connections(self) -> set[Any]:
        return self._uvicorn.server_state.connections

    def _make_protocol(self) -> protocol.LimitedProtocol:
        return self._config.http_protocol_class(
            config=self._config,
            server_state=self._uvicorn.server_state,
            app_state=self._lifespan.state,
        )

    def _bind(self) -> socket.socket:
        host, port = self._listen.host, self._listen.port
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        # asyncio sets TCP_NODELAY only on sockets whose protocol is TCP. With
        # Nagle's algorithm on, each small write waits for an acknowledgement.
        sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit it. Without a fixed size, the kernel
        # receives megabytes for a connection that is no longer read.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, inbound.RECEIVE_BUFFER_BYTES
        )
        try:
            sock.bind((host, port))
        except OSError as exc:
            sock.close()
            raise error.ListenError(f'{host}:{port}: {exc}') from exc
        return sock

    async def _refresh_date(self) -> None:
        """Updates the Date header of responses periodically."""
        while True:
            await self._uvicorn.on_tick(0)
            await asyncio.sleep(DATE_INTERVAL_S)

    async def _drain(self, timeout_s: float) -> None:
        # A request's task ends when its last bytes are buffered, not when they
        # are sent. Waiting for the connections too keeps the end of a response
        # to a slow reader from being truncated.
        try:
            async with asyncio.timeout(timeout_s):
                while self._connections or self.running:
                    self._connection_closed.clear()
                    await self._wait_for_change()
        except TimeoutError:
            event.note(
                event.HttpStopBound(
                    running=self.running, connections=len(self._connections)
                )
            )

    async def _wait_for_change(self) -> None:
        if self._connections:
            await self._connection_closed.wait()
        else:
            await asyncio.wait(list(self._uvicorn.server_state.tasks))

    async def _abort_remaining(self) -> int:
        tasks = list(self._uvicorn.server_state.tasks)
        open_connections = list(self._connections)
        for conn in open_connections:
            conn.transport.abort()
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=CANCEL_TIMEOUT_S)
        return max(len(tasks), len(open_connections))
