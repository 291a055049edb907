"""Incremental parser of one HTTP/1.1 response."""

from __future__ import annotations

import dataclasses

import httptools

from quetzalsill.net import error, framing

__all__ = ['MAX_HEAD_BYTES', 'ResponseParser', 'Head']

# Of a head and trailers together.
MAX_HEAD_BYTES = 65536
LIMITS = framing.Limits(head_bytes=MAX_HEAD_BYTES)
FIRST_FINAL_STATUS = 200

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True, frozen=True)
class Head:
    """Status and headers of a response, in the order received."""

    status: int
    headers: Headers

    def first(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None if it is absent."""
        values = (value for known, value in self.headers if known == name)
        return next(values, None)


class ResponseParser:
    """Parses the bytes of a connection as they arrive.

    Attributes:
      head: Head of the final response, once it is received.
      is_complete: Whether the response has ended as its head announced.
    """

    def __init__(self, method: str) -> None:
        self.head: Head | None = None
        self.is_complete = False
        self._has_body = method != 'HEAD'
        self._headers: Headers = []
        self._framing = framing.Framing(lambda: LIMITS)
        self._chunks: list[bytes] = []
        self._keep_alive = False
        self._parser = httptools.HttpResponseParser(self)

    @property
    def can_reuse_connection(self) -> bool:
        """Whether the connection may carry another request."""
        return self.is_complete and self._keep_alive

    def feed(self, data: bytes) -> None:
        """Parses received bytes; an empty value marks the end of stream.

        Raises:
          ResponseLostError: If they are not valid HTTP, the stream ends within
            the response, or its head, size lines or trailers are too long.
        """
        if not data:
            self._feed_eof()
            return
        try:
            self._framing.feed(self._parser, data)
        except framing.TooLongError as exc:
            raise error.ResponseLostError(str(exc)) from exc
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise error.ResponseLostError(f'malformed answer: {exc}') from exc

    def take_body(self) -> bytes:
        """Returns the part of the body received since the last call."""
        body = b''.join(self._chunks)
        self._chunks.clear()
        return body

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        """Handles the start of a response: final, interim or unsolicited.

        An unsolicited one could be taken for the response to the next
        request, so the connection is not reused.
        """
        if self.head is not None:
            self._keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Stores the head, unless the response is interim (1xx)."""
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self._headers = []
            return
        if self.head is not None:
            return
        self.head = Head(status, self._headers)
        self._keep_alive = self._parser.should_keep_alive()
        if not self._has_body:
            # The parser does not know that the request was HEAD and would wait
            # for the announced body, so the connection is not reused.
            self._keep_alive = False
            self.is_complete = True

    def on_body(self, body: bytes) -> None:
        """Stores a chunk of the body."""
        self._framing.add_body(len(body))
        if not self.is_complete:
            self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Marks the response complete, unless it was interim."""
        if self.head is not None:
            self.is_complete = True

    def _feed_eof(self) -> None:
        if self.head is None:
            raise error.ResponseLostError('closed before an answer')
        framing_headers = (b'content-length', b'transfer-encoding')
        if any(self.head.first(name) is not None for name in framing_headers):
            raise error.ResponseLostError('closed within an answer')
        self.is_complete = True
