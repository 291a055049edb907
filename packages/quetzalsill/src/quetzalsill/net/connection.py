"""One HTTP/1.1 connection of the client.

blacksheep's own connection reads the whole answer ahead without a bound, and
takes an answer that is cut off for a whole one. This one reads when its
reader asks, and an answer that is cut off raises `AnswerLostError`.
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

EAGER_BYTES = 65536
NO_BODY_STATUSES = (204, 304)


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

    def __init__(
        self,
        conn: Connection,
        answer_parser: parser.AnswerParser,
        silence_s: float | None,
    ) -> None:
        self._conn = conn
        self._parser = answer_parser
        self._silence_s = silence_s
        self._ended = False

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yields the body piece by piece as it comes, once."""
        if self._ended:
            raise error.NetError('the body of this answer was read already')
        try:
            while True:
                piece = self._parser.take()
                if piece:
                    yield piece
                elif self._parser.is_whole:
                    break
                else:
                    await self._more()
            self._ended = True
            self._conn.release()
        finally:
            self.abort()

    def abort(self) -> None:
        """Closes the connection unless the answer has ended."""
        if not self._ended:
            self._ended = True
            self._conn.abort()

    async def _more(self) -> None:
        try:
            async with deadline.timeout(self._silence_s):
                await self._conn.feed_parser()
        except TimeoutError as exc:
            self._conn.note_silence()
            raise error.AnswerTimeoutError(
                f'nothing came for {self._silence_s} s'
            ) from exc
        except OSError as exc:
            raise error.AnswerLostError(_reason(exc)) from exc


class Connection(library_connection.HTTP11Connection):
    """A connection that carries one request at a time and repeats none."""

    def __init__(
        self,
        pool: library_pool.ConnectionPool,
        context: ssl.SSLContext | None,
        silence_s: float | None,
        on_released: Callable[[Connection], None],
        on_silence: Callable[[], None],
    ) -> None:
        is_secure = context is not None
        super().__init__(pool, pool.host, pool.port, context, is_secure)
        self._silence_s = silence_s
        self._on_released = on_released
        self._on_silence = on_silence
        self._has_answer = False
        self._parser: parser.AnswerParser | None = None

    @property
    def is_open(self) -> bool:
        """Whether a request may be sent on it.

        A server closes a connection that is idle for long. Its end of
        stream is then here already, and a request written behind it would
        be lost with its outcome unknown. Some servers write an answer
        before they close, which a further request would take for its own.
        """
        is_clean = not self.reader.at_eof() and not self.reader._buffer
        return super().is_open and is_clean

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

    async def feed_parser(self) -> None:
        """Waits for bytes and gives them to the parser of the answer.

        Raises:
          AnswerLostError: If they are no HTTP, or end within the answer.
        """
        self._parser.feed(await self.reader.read(self.buffer_size))

    def release(self) -> None:
        """Gives the connection back after a whole answer."""
        is_sent = self._h11_conn.our_state is h11.DONE
        if is_sent and self._parser.keeps_connection:
            self._h11_conn = h11.Connection(our_role=h11.CLIENT)
            self._on_released(self)
        else:
            self.abort()

    def note_silence(self) -> None:
        """Distrusts the idle connections to the same address too."""
        self._on_silence()

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
        self._parser = parser.AnswerParser(request.method)
        # The library answers an expectation on a path that reads ahead.
        request.remove_header(b'expect')
        try:
            return super()._convert_request_to_h11(request)
        except h11.LocalProtocolError as exc:
            raise error.RequestInvalidError(_reason(exc)) from exc

    async def _receive_response(
        self, timeout: float | None = None
    ) -> blacksheep.Response:
        async with deadline.timeout(timeout):
            while self._parser.head is None:
                await self.feed_parser()
        head = self._parser.head
        response = blacksheep.Response(head.status, head.headers)
        response.content = await self._content(head)
        self._has_answer = True
        return response

    async def _content(self, head: parser.Head) -> blacksheep.Content:
        answer = _Answer(self, self._parser, self._silence_s)
        length = head.first(b'content-length')
        kind = head.first(b'content-type') or b'application/octet-stream'
        if _is_short(head.status, length) or self._parser.is_whole:
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
