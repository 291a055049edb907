"""One HTTP exchange on a connection of its own.

The sidecar must know whether any byte of a request was written: before that, a
failure means "not run"; afterwards the outcome is unknown. A pooled client
hides this point (a kept-alive connection may be closed during a request, and
the client may send the request again), so each exchange opens its own
connection. Request and response are independent, so that a server may respond
while it still reads. `h11` writes the request, and the parser of the kernel
package reads the response.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import urllib.parse
from typing import TYPE_CHECKING

import h11

from quetzalsill.net import deadline, keepalive, parser
from quetzalsill.net import error as net_error
from quetzalsill_sidecar import error

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = [
    'Connection',
    'Headers',
    'Origin',
    'connect',
    'exchange',
]

READ_BYTES = 65536

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True, frozen=True)
class Origin:
    """Address of an upstream.

    Attributes:
      host: IP address.
      port: TCP port.
      prefix: Path prepended to every target; empty, or without a trailing
        slash.
    """

    host: str
    port: int
    prefix: str = ''

    @classmethod
    def parse(cls, url: str) -> Origin:
        """Parses `http://HOST:PORT[/PREFIX]`."""
        parts = urllib.parse.urlsplit(url)
        return cls(
            host=parts.hostname or '127.0.0.1',
            port=parts.port or 80,
            prefix=parts.path.rstrip('/'),
        )

    @property
    def authority(self) -> str:
        """Value of the Host header."""
        return f'{self.host}:{self.port}'


class Connection:
    """A connection that carries one request and its response."""

    def __init__(
        self,
        origin: Origin,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.origin = origin
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)
        self._response = parser.ResponseParser('GET')

    def build_head(self, method: str, target: str, headers: Headers) -> bytes:
        """Returns the encoded head of the request, to be written next.

        Raises:
          RequestMalformedError: the head can't be encoded as HTTP.
        """
        self._response = parser.ResponseParser(method)
        lines = [
            (b'host', self.origin.authority.encode()),
            *headers,
            (b'connection', b'close'),
        ]
        try:
            return self._http.send(
                h11.Request(
                    method=method,
                    target=self.origin.prefix + target,
                    headers=lines,
                )
            )
        except (h11.LocalProtocolError, UnicodeError) as exc:
            raise error.RequestMalformedError(str(exc)) from exc

    async def write(self, data: bytes) -> None:
        """Writes bytes, waiting while the send buffer is full.

        Raises:
          ResponseLostError: the connection broke.
        """
        try:
            self._writer.write(data)
            await self._writer.drain()
        except OSError as exc:
            raise error.ResponseLostError(f'write failed: {exc}') from exc

    async def write_body(self, data: bytes) -> None:
        """Writes a piece of the body.

        Raises:
          ResponseLostError: the connection broke.
          RequestMalformedError: the body is longer than declared.
        """
        if data:
            await self.write(self._send(h11.Data(data=data)))

    async def write_end(self) -> None:
        """Ends the request; raises the same errors as `write_body`."""
        await self.write(self._send(h11.EndOfMessage()))

    async def send_request(
        self, method: str, target: str, headers: Headers, body: bytes = b''
    ) -> None:
        """Writes a complete request; raises the errors of its parts."""
        length = [(b'content-length', str(len(body)).encode())]
        framing = length if body or method == 'POST' else []
        head = self.build_head(method, target, headers + framing)
        await self.write(head)
        await self.write_body(body)
        await self.write_end()

    async def read_head(self) -> parser.Head:
        """Reads the final status and headers.

        Raises:
          ResponseLostError: the connection broke before they were received.
        """
        while self._response.head is None:
            await self._receive()
        return self._response.head

    async def read_data(self) -> bytes:
        """Reads the next data of the body; empty at its proper end.

        Raises:
          ResponseLostError: the connection broke before the end.
        """
        data = self._response.take_body()
        while not data and not self._response.is_complete:
            await self._receive()
            data = self._response.take_body()
        return data

    async def read_all(self, limit: int) -> bytes:
        """Reads the rest of the body, at most about `limit` bytes."""
        body = bytearray()
        while len(body) < limit:
            data = await self.read_data()
            if not data:
                break
            body += data
        return bytes(body[:limit])

    def close(self) -> None:
        """Closes at once and drops any data in flight."""
        self._writer.transport.abort()

    def _send(self, event: h11.Event) -> bytes:
        try:
            return self._http.send(event) or b''
        except h11.LocalProtocolError as exc:
            raise error.RequestMalformedError(str(exc)) from exc

    async def _receive(self) -> None:
        try:
            self._response.feed(await self._reader.read(READ_BYTES))
        except OSError as exc:
            raise error.ResponseLostError(f'read failed: {exc}') from exc
        except net_error.ResponseLostError as exc:
            raise error.ResponseLostError(exc.detail) from exc


async def connect(origin: Origin, timeout_s: float) -> Connection:
    """Opens a connection.

    Raises:
      UpstreamConnectError: refused, unreachable or not open in `timeout_s`.
    """
    try:
        async with deadline.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                origin.host, origin.port
            )
    except (OSError, TimeoutError) as exc:
        raise error.UpstreamConnectError(
            f'{origin.authority}: {exc or "connect timed out"}',
            refused=isinstance(exc, ConnectionRefusedError),
        ) from exc
    keepalive.enable(writer.transport)
    return Connection(origin, reader, writer)


@contextlib.asynccontextmanager
async def exchange(
    origin: Origin, timeout_s: float
) -> AsyncIterator[Connection]:
    """Opens a connection for a `with` block and closes it afterwards.

    Raises:
      UpstreamConnectError: refused, unreachable or not open in `timeout_s`.
    """
    conn = await connect(origin, timeout_s)
    try:
        yield conn
    finally:
        conn.close()
