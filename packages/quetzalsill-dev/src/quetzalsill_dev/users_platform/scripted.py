"""An HTTP server that controls each byte of its responses."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import Awaitable, Callable

import h11

__all__ = ['Exchange', 'ScriptedServer']

READ_BYTES = 65536
# A linger time of zero: closing discards unsent data and resets the
# connection.
RESET = struct.pack('ii', 1, 0)
REASONS = {200: 'OK', 412: 'Precondition Failed', 421: 'Misdirected Request'}


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request and the connection for its response.

    Attributes:
      method: Method in capitals.
      target: Path and query.
      headers: Headers, with names in lower case.
      body: The complete body.
      writer: The connection's stream writer.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]

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
        """Writes a chunk of a chunked body; an empty chunk ends it."""
        self.writer.write(b'%x\r\n%s\r\n' % (len(data), data))

    def abort(self) -> None:
        """Resets the connection, unless the client has closed it.

        Without the linger option the kernel would close it normally, as at the
        end of a response.
        """
        if not self.is_open:
            return
        sock = self.writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.writer.transport.abort()

    @property
    def is_open(self) -> bool:
        """Whether the connection is still open."""
        return not self.writer.transport.is_closing()


Handler = Callable[[Exchange], Awaitable[None]]


class ScriptedServer:
    """Reads requests and passes them to a handler, which responds.

    Attributes:
      connections: Number of accepted connections.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = 0

    @property
    def is_listening(self) -> bool:
        """Whether it was started and not stopped."""
        return self._server is not None and self._server.is_serving()

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    @property
    def address_text(self) -> str:
        """IP address and port, separated by a colon."""
        return '{}:{}'.format(*self.address)

    async def start(self, port: int = 0) -> None:
        """Listens on a port; 0 lets the kernel choose."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', port
        )

    async def stop(self) -> None:
        """Stops listening and resets every connection."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        last = ''
        while not writer.transport.is_closing():
            parser = h11.Connection(h11.SERVER)
            try:
                request = await _event(parser, reader)
            except h11.RemoteProtocolError as exc:
                peer = writer.get_extra_info('peername')
                exc.add_note(f'from {peer}, previous request: {last or "none"}')
                raise
            if not isinstance(request, h11.Request):
                return
            body = b''
            while isinstance(part := await _event(parser, reader), h11.Data):
                body += part.data
            exchange = Exchange(
                request.method.decode(),
                request.target.decode(),
                {k.decode(): v.decode('latin-1') for k, v in request.headers},
                body,
                writer,
            )
            last = f'{exchange.method} {exchange.target}'
            handling = asyncio.create_task(self._handle(exchange))
            await self._until_done(handling, reader, writer)

    async def _handle(self, exchange: Exchange) -> None:
        # The client may disconnect at any time during a response.
        with contextlib.suppress(ConnectionError):
            await self._handler(exchange)

    async def _until_done(
        self,
        handling: asyncio.Task[None],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Waits for the handler and cancels it if the client disconnects."""
        disconnect = asyncio.create_task(_until_eof(reader))
        try:
            done, _ = await asyncio.wait(
                (handling, disconnect), return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            handling.cancel()
            disconnect.cancel()
            raise
        if handling not in done:
            handling.cancel()
            writer.transport.abort()
        disconnect.cancel()
        await asyncio.gather(handling, disconnect, return_exceptions=True)
        if not handling.cancelled() and handling.exception() is not None:
            raise handling.exception()
        if not writer.transport.is_closing():
            await writer.drain()


async def _until_eof(reader: asyncio.StreamReader) -> None:
    # Bytes of the next request stay in the buffer of the reader.
    while not reader.at_eof():  # noqa: ASYNC110
        await asyncio.sleep(0.005)


async def _event(
    parser: h11.Connection, reader: asyncio.StreamReader
) -> h11.Event | type[h11.PAUSED]:
    while True:
        event = parser.next_event()
        if event is not h11.NEED_DATA:
            return event
        parser.receive_data(await reader.read(READ_BYTES))
