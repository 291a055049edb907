"""One HTTP exchange on a connection of its own.

The sidecar must know whether a byte of a request left it: before that a
failure means "not run", after it the outcome is open. A pooled client blurs
the line (a kept-alive connection may be closed under a request, and the
client may send it again), so each exchange opens its own connection. Request
and answer are independent, so that a server may answer while it still reads.
The protocol itself is left to `h11` for the request and to the kernel's
parser for the answer.
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
    """Where an upstream listens.

    Attributes:
      host: IP address.
      port: TCP port.
      prefix: Path put before every target; empty or without slash at end.
    """

    host: str
    port: int
    prefix: str = ''

    @classmethod
    def parse(cls, url: str) -> Origin:
        """Reads `http://HOST:PORT[/PREFIX]`."""
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
    """A connection that carries one request and its answer."""

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

    def request(self, method: str, target: str, headers: Headers) -> bytes:
        """Returns the head of the request, to be written next.

        Raises:
          RequestMalformedError: the head can't be put as HTTP.
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
        """Writes bytes, waiting while the upstream is slow.

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
          RequestMalformedError: the body is longer than was announced.
        """
        if data:
            await self.write(self._send(h11.Data(data=data)))

    async def write_end(self) -> None:
        """Ends the request; raises as `write_body` does."""
        await self.write(self._send(h11.EndOfMessage()))

    async def ask(
        self, method: str, target: str, headers: Headers, body: bytes = b''
    ) -> None:
        """Writes a whole request; raises as its parts do."""
        length = [(b'content-length', str(len(body)).encode())]
        framing = length if body or method == 'POST' else []
        head = self.request(method, target, headers + framing)
        await self.write(head)
        await self.write_body(body)
        await self.write_end()

    async def read_head(self) -> parser.Head:
        """Reads the final status and headers.

        Raises:
          ResponseLostError: the connection broke before they came.
        """
        while self._response.head is None:
            await self._receive()
        return self._response.head

    async def read_data(self) -> bytes:
        """Reads what has come of the body; empty at its proper end.

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
        """Closes at once; what is in flight is dropped."""
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
    """Opens a connection for a `with` block and closes it after.

    Raises:
      UpstreamConnectError: refused, unreachable or not open in `timeout_s`.
    """
    conn = await connect(origin, timeout_s)
    try:
        yield conn
    finally:
        conn.close()
