"""Writes the answer to one request of a caller."""

from __future__ import annotations

from typing import Protocol

from quetzalsill_gateway.http import message

__all__ = ['Channel', 'Responder']


class Channel(Protocol):
    """What an answer is written to: the connection of its caller."""

    def will_close(self) -> bool:
        """Whether no further request is taken from it."""

    def write(self, data: bytes) -> None:
        """Writes bytes without waiting."""

    async def writable(self) -> None:
        """Waits while the caller reads too slowly."""

    def close(self) -> None:
        """Closes it behind what was written."""

    def abort(self, *, reset: bool = False) -> None:
        """Cuts it off."""


class Responder:
    """Writes the answer to one request.

    Attributes:
      started: Whether the head was written.
      ended: Whether the answer is whole.
    """

    __slots__ = (
        '_chunked',
        '_conn',
        '_keep_alive',
        '_request',
        '_until_close',
        'ended',
        'started',
    )

    def __init__(self, conn: Channel, request: message.Request) -> None:
        self._conn = conn
        self._request = request
        self._chunked = False
        self._keep_alive = False
        self._until_close = False
        self.started = False
        self.ended = False

    def start(
        self, status: int, headers: message.Headers, length: int | None
    ) -> None:
        """Writes the head; without a length the body is sent in chunks."""
        self._keep_alive = (
            self._request.keep_alive and not self._conn.will_close()
        )
        lines = [b'HTTP/1.1 %d %s' % (status, message.reason(status))]
        lines.extend(b'%s: %s' % pair for pair in headers)
        if length is not None:
            lines.append(b'content-length: %d' % length)
        elif self._request.version == '1.1':
            self._chunked = True
            lines.append(b'transfer-encoding: chunked')
        else:
            self._keep_alive = False
            self._until_close = True
        if not self._keep_alive:
            lines.append(b'connection: close')
        lines.append(b'\r\n')
        self.started = True
        self._conn.write(b'\r\n'.join(lines))

    def write(self, data: bytes) -> None:
        """Writes a piece of the body."""
        if self._chunked:
            data = b'%x\r\n%s\r\n' % (len(data), data)
        self._conn.write(data)

    async def drain(self) -> None:
        """Waits while the caller reads too slowly."""
        await self._conn.writable()

    def end(self) -> None:
        """Ends the body as whole."""
        if self._chunked:
            self._conn.write(b'0\r\n\r\n')
        self.ended = True
        if not self._keep_alive:
            self._conn.close()

    def abort(self) -> None:
        """Cuts the connection, so that the answer cannot look whole.

        A body that ends with its connection would look whole at an ordinary
        end, so that one is reset.
        """
        self.ended = True
        self._conn.abort(reset=self._until_close)

    def reply(
        self, status: int, headers: message.Headers, body: bytes = b''
    ) -> None:
        """Writes a whole answer."""
        self.start(status, headers, len(body))
        if body:
            self._conn.write(body)
        self.end()
