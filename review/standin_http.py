"""A small HTTP/1.1 server and the reading of requests and responses."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import Awaitable, Callable

__all__ = ['Exchange', 'Handler', 'Server', 'read_head']

REASONS = {200: 'OK', 421: 'Misdirected Request', 503: 'Service Unavailable'}
RESET = struct.pack('ii', 1, 0)


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Returns a start line and the headers, with names in lower case.

    Raises:
      asyncio.IncompleteReadError: The connection ended before.
    """
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request and the connection for its response."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def is_open(self) -> bool:
        """Whether the connection is still open."""
        return not self.writer.transport.is_closing()

    def send_head(self, status: int, headers: dict[str, str]) -> None:
        """Writes a status line and headers."""
        lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        self.writer.write('\r\n'.join([*lines, '\r\n']).encode())

    def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> None:
        """Writes a complete response."""
        length = {'Content-Length': str(len(body))}
        self.send_head(status, (headers or {}) | length)
        self.writer.write(body)

    def send_chunk(self, data: bytes) -> None:
        """Writes a chunk of a chunked body; an empty one ends it."""
        self.writer.write(b'%x\r\n%s\r\n' % (len(data), data))

    def close(self) -> None:
        """Closes the connection after what was written has been sent."""
        self.writer.close()

    def reset(self) -> None:
        """Resets the connection, as a server that crashes does."""
        if self.is_open:
            sock = self.writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.writer.transport.abort()


Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """Serves each connection by a task; ends a handler when its client left."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._open: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self.address = ''

    async def start(self, port: int = 0) -> None:
        """Listens on a loopback port; 0 lets the kernel choose."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    @property
    def port(self) -> int:
        """Port that it listens on."""
        return int(self.address.rpartition(':')[2])

    async def stop(self, *, reset: bool = True) -> None:
        """Stops to listen and ends all connections.

        Args:
          reset: Whether they are reset, as by a crash; otherwise they are
            closed, as when a process exits.
        """
        if self._server is not None:
            self._server.close()
        for task, writer in list(self._open.items()):
            if reset:
                sock = writer.get_extra_info('socket')
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._open[task] = writer
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            del self._open[task]
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while not writer.transport.is_closing():
            first, headers = await read_head(reader)
            method, target, _ = first.split(' ', 2)
            size = int(headers.get('content-length', 0))
            body = await reader.readexactly(size)
            call = Exchange(method, target, headers, body, writer)
            handling = asyncio.ensure_future(self._handle(call))
            leaving = asyncio.ensure_future(_until_end(reader))
            try:
                await asyncio.wait(
                    (handling, leaving), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                has_left = not handling.done()
                handling.cancel()
                leaving.cancel()
                await asyncio.gather(handling, leaving, return_exceptions=True)
            if has_left:
                return
            if not writer.transport.is_closing():
                await writer.drain()

    async def _handle(self, call: Exchange) -> None:
        # The client may leave at any time.
        with contextlib.suppress(OSError):
            await self._handler(call)


async def _until_end(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof():
        if reader.exception() is not None:
            return
        await asyncio.sleep(0.005)
