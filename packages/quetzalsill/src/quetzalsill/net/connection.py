"""One HTTP/1.1 connection of the client.

blacksheep's own connection reads the entire response ahead without a limit,
and treats a truncated response as complete. This one reads on demand, and a
truncated response raises `ResponseLostError`.
"""

from __future__ import annotations

import weakref
from collections.abc import AsyncIterator, Callable
from typing import TYPE_CHECKING

import blacksheep
import h11
from blacksheep.client import connection as library_connection

from quetzalsill.net import deadline, error, keepalive, parser

if TYPE_CHECKING:
    import ssl

    from blacksheep.client import pool as library_pool

__all__ = ['Connection']

MAX_BUFFERED_BODY_BYTES = 65536
NO_BODY_STATUSES = (204, 304)


class _StreamedBody(blacksheep.StreamedContent):
    """Body that is read from its connection on demand."""

    async def read(self) -> bytes:
        """Returns the complete body; may be called repeatedly."""
        return self.body if self.body is not None else await super().read()


class _ResponseBody:
    """The body of the response that a connection is receiving.

    The connection is reused for other requests, so a stale reference to an
    earlier response, such as an iterator dropped late, must not affect it.
    """

    def __init__(
        self,
        conn: Connection,
        response_parser: parser.ResponseParser,
        read_timeout_s: float | None,
    ) -> None:
        self._conn = conn
        self._parser = response_parser
        self._read_timeout_s = read_timeout_s
        self._ended = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the chunks of the body as they arrive; works once."""
        if self._ended:
            raise error.NetError('the body of this response was already read')
        try:
            while True:
                chunk = self._parser.take_body()
                if chunk:
                    yield chunk
                elif self._parser.is_complete:
                    break
                else:
                    await self._read_more()
            self._ended = True
            self._conn.release()
        finally:
            self.abort()

    def abort(self) -> None:
        """Closes the connection unless the response is complete."""
        if not self._ended:
            self._ended = True
            self._conn.abort()

    async def _read_more(self) -> None:
        try:
            async with deadline.timeout(self._read_timeout_s):
                await self._conn.feed_parser()
        except TimeoutError as exc:
            self._conn.report_timeout()
            raise error.ResponseTimeoutError(
                f'no data received for {self._read_timeout_s} s'
            ) from exc
        except OSError as exc:
            raise error.ResponseLostError(_describe(exc)) from exc


class Connection(library_connection.HTTP11Connection):
    """A connection that carries one request at a time and never retries."""

    def __init__(
        self,
        pool: library_pool.ConnectionPool,
        context: ssl.SSLContext | None,
        read_timeout_s: float | None,
        on_released: Callable[[Connection], None],
        on_timeout: Callable[[], None],
    ) -> None:
        is_secure = context is not None
        super().__init__(pool, pool.host, pool.port, context, is_secure)
        self._read_timeout_s = read_timeout_s
        self._on_released = on_released
        self._on_timeout = on_timeout
        self._has_response = False
        self._parser: parser.ResponseParser | None = None

    @property
    def is_open(self) -> bool:
        """Whether a request may be sent on it.

        A server closes a connection that is idle for too long. Its end of
        stream has then already arrived, and a request written after it
        would be lost with its outcome unknown. Some servers send a response
        before they close, which the next request would take for its own.
        """
        has_no_pending_data = (
            not self.reader.at_eof() and not self.reader._buffer
        )
        return super().is_open and has_no_pending_data

    async def connect(self) -> None:
        """Opens the connection."""
        await super().connect()
        keepalive.enable(self.writer.transport)

    async def send(self, request: blacksheep.Request) -> blacksheep.Response:
        """Sends a request once and returns the head of its response.

        Raises:
          RequestInvalidError: If it cannot be encoded; nothing was sent.
          ResponseLostError: If no response came; the request may have run.
        """
        self._has_response = False
        try:
            return await super().send(request)
        except TimeoutError:
            raise
        except (OSError, h11.ProtocolError) as exc:
            raise error.ResponseLostError(_describe(exc)) from exc
        finally:
            # Also on cancellation: the server must see that nobody waits for
            # its response, and the connection must not be reused.
            if not self._has_response:
                self.abort()

    async def feed_parser(self) -> None:
        """Waits for data and passes it to the response parser.

        Raises:
          ResponseLostError: If it is not valid HTTP, or the stream ends
            within the response.
        """
        self._parser.feed(await self.reader.read(self.buffer_size))

    def release(self) -> None:
        """Returns the connection to its pool after a complete response."""
        is_sent = self._h11_conn.our_state is h11.DONE
        if is_sent and self._parser.can_reuse_connection:
            self._h11_conn = h11.Connection(our_role=h11.CLIENT)
            self._on_released(self)
        else:
            self.abort()

    def report_timeout(self) -> None:
        """Reports a timeout, so that the pool closes its idle connections."""
        self._on_timeout()

    def abort(self) -> None:
        """Closes the connection at once, even during a request."""
        self._closing = True
        if self.writer is not None:
            self.writer.transport.abort()

    async def close(self) -> None:
        """Closes the connection."""
        self.abort()

    def _convert_request_to_h11(
        self, request: blacksheep.Request
    ) -> tuple[h11.Request, bytes | None]:
        self._parser = parser.ResponseParser(request.method)
        # The library handles `Expect` on a code path that reads ahead.
        request.remove_header(b'expect')
        try:
            return super()._convert_request_to_h11(request)
        except h11.LocalProtocolError as exc:
            raise error.RequestInvalidError(_describe(exc)) from exc

    async def _receive_response(
        self, timeout: float | None = None
    ) -> blacksheep.Response:
        async with deadline.timeout(timeout):
            while self._parser.head is None:
                await self.feed_parser()
        head = self._parser.head
        response = blacksheep.Response(head.status, head.headers)
        response.content = await self._content(head)
        self._has_response = True
        return response

    async def _content(self, head: parser.Head) -> blacksheep.Content:
        response_body = _ResponseBody(self, self._parser, self._read_timeout_s)
        length = head.first(b'content-length')
        content_type = (
            head.first(b'content-type') or b'application/octet-stream'
        )
        if _is_buffered(head.status, length) or self._parser.is_complete:
            chunks = [chunk async for chunk in response_body.chunks()]
            return blacksheep.Content(content_type, b''.join(chunks))
        body = _StreamedBody(
            content_type, response_body.chunks, int(length or -1)
        )
        # A response that is dropped unread would keep the connection open.
        weakref.finalize(body, response_body.abort).atexit = False
        return body


def _is_buffered(status: int, length: bytes | None) -> bool:
    if status in NO_BODY_STATUSES:
        return True
    return length is not None and int(length) <= MAX_BUFFERED_BODY_BYTES


def _describe(exc: Exception) -> str:
    return str(exc) or type(exc).__name__
