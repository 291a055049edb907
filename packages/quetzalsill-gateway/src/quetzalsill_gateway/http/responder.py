"""Writes the response to a caller's request."""

from __future__ import annotations

from typing import Protocol

from quetzalsill_gateway.http import message

__all__ = ['Channel', 'Responder']


class Channel(Protocol):
    """The caller's connection, to which a response is written."""

    def may_buffer(self, size: int) -> bool:
        """Returns whether an answer may be buffered, and records its size."""

    def will_close(self) -> bool:
        """Whether the connection closes after the current response."""

    def write(self, data: bytes) -> None:
        """Writes data without waiting."""

    async def writable(self) -> None:
        """Waits while the write buffer is full."""

    def close(self) -> None:
        """Closes after buffered data has been sent."""

    def abort(self, *, reset: bool = False) -> None:
        """Closes at once, with a reset if `reset` is set."""


class Responder:
    """Writes the response to one request.

    Attributes:
      started: Whether the head was written.
      ended: Whether the response has ended.
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
        """Writes the head.

        Without a length the body is sent in chunks or, to HTTP/1.0 callers,
        ends with the connection.
        """
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

    def may_buffer(self, size: int) -> bool:
        """Returns whether an answer of some bytes may be buffered."""
        return self._conn.may_buffer(size)

    def write(self, data: bytes) -> None:
        """Writes a chunk of the body."""
        if self._chunked:
            data = b'%x\r\n%s\r\n' % (len(data), data)
        self._conn.write(data)

    async def drain(self) -> None:
        """Waits while the write buffer is full."""
        await self._conn.writable()

    def end(self) -> None:
        """Ends the body of a complete response."""
        if self._chunked:
            self._conn.write(b'0\r\n\r\n')
        self.ended = True
        if not self._keep_alive:
            self._conn.close()

    def abort(self) -> None:
        """Aborts the connection, so that the response looks truncated.

        A body that ends with its connection would look complete after a
        regular close, so in that case the connection is reset.
        """
        self.ended = True
        self._conn.abort(reset=self._until_close)

    def reply(
        self, status: int, headers: message.Headers, body: bytes = b''
    ) -> None:
        """Writes a complete response."""
        self.start(status, headers, len(body))
        if body:
            self._conn.write(body)
        self.end()
