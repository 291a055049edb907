"""One HTTP/1.1 connection of the client.

blacksheep's own connection reads the whole answer ahead without a bound, and
takes an answer that is cut off for a whole one. This one reads when its
reader asks, and an answer that is cut off raises `AnswerLostError`.
"""

from __future__ import annotations

import asyncio
import weakref
from collections.abc import AsyncIterator, Callable
from typing import TYPE_CHECKING

import blacksheep
import h11
from blacksheep.client import connection as library_connection

from quetzalsill.net import error, keepalive

if TYPE_CHECKING:
    import ssl

    from quetzalsill.net import pool as net_pool

__all__ = ['Connection']

EAGER_BYTES = 65536
NO_BODY_STATUSES = (204, 304)
Event = h11.Event | type[h11.PAUSED]


class _StreamedBody(blacksheep.StreamedContent):
    """Body that is read from its connection as it is asked for."""

    async def read(self) -> bytes:
        """Returns the whole body, also when asked again."""
        return self.body if self.body is not None else await super().read()


class _Answer:
    """The answer that a connection is receiving.

    A connection goes on to other requests, so what still refers to an
    earlier answer, such as an iterator dropped late, must not reach it.
    """

    def __init__(self, conn: Connection, silence_s: float | None) -> None:
        self._conn = conn
        self._silence_s = silence_s
        self._ended = False

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yields the body piece by piece as it comes, once."""
        if self._ended:
            raise error.NetError('the body of this answer was read already')
        try:
            while True:
                event = await self._next_piece()
                if isinstance(event, h11.EndOfMessage):
                    break
                yield bytes(event.data)
            self._ended = True
            self._conn.release()
        finally:
            self.abort()

    def abort(self) -> None:
        """Closes the connection unless the answer has ended."""
        if not self._ended:
            self._ended = True
            self._conn.abort()

    async def _next_piece(self) -> h11.Data | h11.EndOfMessage:
        try:
            async with asyncio.timeout(self._silence_s):
                event = await self._conn.next_event()
        except TimeoutError as exc:
            self._conn.note_silence()
            raise error.AnswerTimeoutError(
                f'nothing came for {self._silence_s} s'
            ) from exc
        except (OSError, h11.ProtocolError) as exc:
            raise error.AnswerLostError(_reason(exc)) from exc
        if not isinstance(event, (h11.Data, h11.EndOfMessage)):
            raise error.AnswerLostError('closed within an answer')
        return event


class Connection(library_connection.HTTP11Connection):
    """A connection that carries one request at a time and repeats none."""

    def __init__(
        self,
        pool: net_pool.Pool,
        context: ssl.SSLContext | None,
        silence_s: float | None,
        on_released: Callable[[Connection], None],
    ) -> None:
        is_secure = context is not None
        super().__init__(pool, pool.host, pool.port, context, is_secure)
        self._silence_s = silence_s
        self._on_released = on_released
        self._has_answer = False

    @property
    def is_open(self) -> bool:
        """Whether a request may be sent on it.

        A server closes a connection that is idle for long. Its end of
        stream is then here already, and a request written behind it would
        be lost with its outcome unknown.
        """
        return super().is_open and not self.reader.at_eof()

    async def connect(self) -> None:
        """Opens the connection."""
        await super().connect()
        keepalive.tune(self.writer.transport)

    async def send(self, request: blacksheep.Request) -> blacksheep.Response:
        """Sends a request once and returns the head of its answer.

        Raises:
          RequestInvalidError: If it cannot be written; nothing was sent.
          AnswerLostError: If no answer came; the request may have run.
        """
        self._has_answer = False
        try:
            return await super().send(request)
        except TimeoutError:
            raise
        except (OSError, h11.ProtocolError) as exc:
            raise error.AnswerLostError(_reason(exc)) from exc
        finally:
            # Also on cancellation: the other end must see that its answer
            # is not waited for, and the connection must not be used again.
            if not self._has_answer:
                self.abort()

    async def next_event(self) -> Event:
        """Returns the next event of the answer."""
        while True:
            event = self._h11_conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self.reader.read(self.buffer_size)
            # The empty end of stream is fed too: the parser knows whether
            # the answer was whole by then.
            self._h11_conn.receive_data(data)

    def release(self) -> None:
        """Gives the connection back after a whole answer."""
        states = (self._h11_conn.our_state, self._h11_conn.their_state)
        if states == (h11.DONE, h11.DONE):
            self._on_released(self)
        else:
            self.abort()

    def note_silence(self) -> None:
        """Distrusts the idle connections to the same address too."""
        pool = self.pool()
        if pool is not None:
            pool.drop_idle()

    def abort(self) -> None:
        """Closes the connection at once, whatever it carries."""
        self._closing = True
        if self.writer is not None:
            self.writer.transport.abort()

    async def close(self) -> None:
        """Closes the connection."""
        self.abort()

    def _convert_request_to_h11(
        self, request: blacksheep.Request
    ) -> tuple[h11.Request, bytes | None]:
        # The library answers an expectation on a path that reads ahead.
        request.remove_header(b'expect')
        try:
            return super()._convert_request_to_h11(request)
        except h11.LocalProtocolError as exc:
            raise error.RequestInvalidError(_reason(exc)) from exc

    async def _receive_response(
        self, timeout: float | None = None
    ) -> blacksheep.Response:
        async with asyncio.timeout(timeout):
            head = await self._next_head()
        response = blacksheep.Response(head.status_code, list(head.headers))
        response.content = await self._content(response)
        self._has_answer = True
        return response

    async def _next_head(self) -> h11.Response:
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise error.AnswerLostError('closed before an answer')

    async def _content(
        self, response: blacksheep.Response
    ) -> blacksheep.Content:
        answer = _Answer(self, self._silence_s)
        length = response.get_first_header(b'content-length')
        kind = response.get_first_header(b'content-type')
        kind = kind or b'application/octet-stream'
        if _is_short(response.status, length):
            pieces = [piece async for piece in answer.pieces()]
            return blacksheep.Content(kind, b''.join(pieces))
        body = _StreamedBody(kind, answer.pieces, int(length or -1))
        # An answer that is dropped unread would hold the connection.
        weakref.finalize(body, answer.abort).atexit = False
        return body


def _is_short(status: int, length: bytes | None) -> bool:
    if status in NO_BODY_STATUSES:
        return True
    return length is not None and int(length) <= EAGER_BYTES


def _reason(exc: Exception) -> str:
    return str(exc) or type(exc).__name__
