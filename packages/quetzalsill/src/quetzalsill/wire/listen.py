"""Accepts the links that routers dial."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill import event
from quetzalsill.net import deadline
from quetzalsill.wire import error, frame, handshake, link, message

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable

    from quetzalsill.settings import section

__all__ = ['MAX_HANDSHAKES', 'LinkServer']

MAX_HANDSHAKES = 1024


class LinkServer:
    """Listens for links and serves each in its own task."""

    def __init__(
        self,
        listen: section.Listen,
        credential: str,
        welcome: Callable[[message.Hello], message.Welcome],
        on_link: Callable[[link.Link], Awaitable[None]],
        timing: section.LinkTiming,
        tls: ssl.SSLContext | None = None,
        *,
        revision: Callable[[], int] | None = None,
        heartbeat_factor: Callable[[], float] | None = None,
    ) -> None:
        """Initializes the server; `start` opens its listener.

        Args:
          listen: Address to listen on; port 0 lets the kernel choose.
          credential: Credential required in a Hello.
          welcome: Returns the response to a Hello; may raise `WireError` to
            reject it.
          on_link: Serves one link; the link is closed when it returns. If it
            raises `WireError`, only that link ends.
          timing: Timeouts of each link and its handshake.
          tls: Context of encrypted links; None for plaintext ones.
          revision: Returns the current local revision for heartbeats; that
            of the Welcome if None.
          heartbeat_factor: Factor of the time to the first heartbeat; see
            `link.Link`.
        """
        self._listen = listen
        self._credential = credential
        self._welcome = welcome
        self._on_link = on_link
        self._timing = timing
        self._tls = tls
        self._revision = revision
        self._heartbeat_factor = heartbeat_factor
        self._tasks: set[asyncio.Task[None]] = set()
        self._handshakes = 0
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Opens the listener.

        Raises:
          OSError: The address cannot be bound.
        """
        tls_options = {'ssl_handshake_timeout': self._timing.connect_s}
        self._server = await asyncio.start_server(
            self._accept,
            self._listen.host,
            self._listen.port,
            ssl=self._tls,
            **(tls_options if self._tls else {}),
        )

    async def stop(self) -> None:
        """Closes the listener and every link."""
        self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Connections that never send a Hello would use up the file
        # descriptors; above the limit, new ones are dropped until others time
        # out.
        if self._handshakes >= MAX_HANDSHAKES:
            writer.transport.abort()
            return
        task = asyncio.get_running_loop().create_task(
            self._serve(reader, writer)
        )
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            event.note(event.LinkTaskFailed(), exc=task.exception())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            conn = await self._perform_handshake(reader, writer)
        except error.WireError as exc:
            _reject(writer, exc)
            return
        except OSError:
            writer.transport.abort()
            return
        except BaseException:
            writer.transport.abort()
            raise
        try:
            await self._on_link(conn)
        except error.WireError as exc:
            _log_link_ended(conn, exc)
            conn.reject(exc)
        finally:
            conn.close()

    async def _perform_handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> link.Link:
        splitter = frame.Splitter(frame.MAX_HANDSHAKE_BODY_BYTES)
        self._handshakes += 1
        try:
            # A client that sends its Hello byte by byte, or none at all, would
            # keep the connection open indefinitely.
            async with deadline.timeout(self._timing.connect_s):
                first = await handshake.read_first(reader, splitter)
        except TimeoutError as exc:
            raise error.HandshakeTimeoutError(
                f'no Hello within {self._timing.connect_s} s'
            ) from exc
        finally:
            self._handshakes -= 1
        hello = handshake.check_hello(first, self._credential)
        welcome = self._welcome(hello)
        handshake.write_first(writer, welcome)
        return link.Link(
            reader,
            writer,
            hello,
            splitter,
            self._timing,
            self._revision or (lambda: welcome.revision),
            heartbeat_factor=self._heartbeat_factor,
        )


def _reject(writer: asyncio.StreamWriter, exc: error.WireError) -> None:
    event.note(
        event.LinkRefused(
            remote=link.remote_address(writer), code=exc.code, detail=exc.detail
        )
    )
    if not isinstance(exc, error.LinkClosedError):
        handshake.write_first(writer, message.Reject(exc.code, exc.detail))
    writer.close()
    asyncio.get_running_loop().call_later(
        link.CLOSE_GRACE_S, writer.transport.abort
    )


def _log_link_ended(conn: link.Link, exc: error.WireError) -> None:
    event.note(
        event.LinkEnded(
            remote=conn.remote,
            node=conn.peer.node,
            code=exc.code,
            detail=exc.detail,
        )
    )
