"""HTTP requests, response heads and headers."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator

__all__ = [
    'Body',
    'Fields',
    'Headers',
    'Part',
    'Request',
    'ResponseHead',
    'end_to_end',
    'first',
    'logged',
    'reason',
    'relayed_headers',
    'values',
]

Headers = list[tuple[bytes, bytes]]

Part = bytes | bytearray

# Smaller parts of a body are merged up to the larger size.
MERGED_BYTES = 4096
PART_BYTES = 65_536
# Longer values of headers are truncated in the log.
MAX_LOGGED_BYTES = 64

HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
REASONS = {
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    421: b'Misdirected Request',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class Fields:
    """Header fields in one string, about as large as they were received.

    Kept as a list of pairs, fields of a few bytes take forty times as much.
    Names are in lower case; neither they nor values contain line ends.
    """

    __slots__ = ('_text',)

    def __init__(self, pairs: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self._text = bytearray(b'\n')
        for name, value in pairs:
            self.add(name, value)

    def add(self, name: bytes, value: bytes) -> None:
        """Appends a field."""
        self._text += b'%s:%s\n' % (name, value)

    @property
    def size(self) -> int:
        """Size in memory, in bytes."""
        return len(self._text)

    def values(self, name: bytes) -> Iterator[bytes]:
        """Yields the values of a name in lower case."""
        text, key = self._text, b'\n%s:' % name
        start = text.find(key)
        while start >= 0:
            end = text.index(b'\n', start + 1)
            yield bytes(text[start + len(key) : end])
            start = text.find(key, end)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        for line in bytes(self._text[1:-1]).split(b'\n'):
            if line:
                name, _, value = line.partition(b':')
                yield name, value


class Body:
    """A body in parts of bounded size.

    One string of megabytes grows and moves as it is received, and with many of
    them the heap gets holes that no other one fits in.

    Attributes:
      parts: Its parts, each of at most `PART_BYTES` unless it came as one.
    """

    __slots__ = ('_size', 'parts')

    def __init__(self, data: bytes = b'') -> None:
        self.parts: list[Part] = []
        self._size = 0
        if data:
            self.add(data)

    def add(self, data: bytes) -> None:
        """Appends bytes."""
        self._size += len(data)
        last = self.parts[-1] if self.parts else None
        if len(data) >= MERGED_BYTES:
            self.parts.append(data)
        elif isinstance(last, bytearray) and len(last) < PART_BYTES:
            last += data
        else:
            self.parts.append(bytearray(data))

    def __len__(self) -> int:
        return self._size

    def __bytes__(self) -> bytes:
        return b''.join(self.parts)


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request of a caller.

    Attributes:
      method: Method in upper case.
      target: Path and query as sent by the caller.
      headers: Headers in order of arrival, with names in lower case.
      body: The complete body.
      received_s: Loop time at which its first byte arrived, in seconds.
      version: HTTP version, `1.0` or `1.1`.
      keep_alive: Whether the caller wants a persistent connection.
      number: Its number on its connection, from 1.
    """

    method: bytes
    target: bytes
    headers: Fields
    body: Body
    received_s: float
    version: str = '1.1'
    keep_alive: bool = True
    number: int = 1

    @property
    def path(self) -> bytes:
        """The target without the query."""
        return self.target.partition(b'?')[0]


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of an upstream's response.

    Attributes:
      status: Status code.
      headers: Headers in order of arrival, with names in lower case.
      length: Length of the body in bytes; None if not stated.
    """

    status: int
    headers: Headers
    length: int | None = None


def values(headers: Headers | Fields, name: bytes) -> list[bytes]:
    """Returns the values of all headers of a name, in lower case."""
    if isinstance(headers, Fields):
        return list(headers.values(name))
    return [value for key, value in headers if key == name]


def logged(headers: Headers | Fields, name: bytes) -> str:
    """Returns the first value of a header as text for the log, truncated."""
    return (first(headers, name) or b'')[:MAX_LOGGED_BYTES].decode('latin-1')


def first(headers: Headers | Fields, name: bytes) -> bytes | None:
    """Returns the first value of a header; None if it is absent."""
    if isinstance(headers, Fields):
        return next(headers.values(name), None)
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers: Headers | Fields) -> Headers:
    """Returns the headers without hop-by-hop headers."""
    named = [
        token.strip().lower()
        for key, value in headers
        if key == b'connection'
        for token in value.split(b',')
    ]
    dropped = HOP_BY_HOP.union(named)
    return [(key, value) for key, value in headers if key not in dropped]


def relayed_headers(head: ResponseHead) -> Headers:
    """Returns the headers to relay for a response whose body is reframed."""
    return [p for p in end_to_end(head.headers) if p[0] != b'content-length']


def reason(status: int) -> bytes:
    """Returns the reason phrase of a status."""
    return REASONS.get(status, b'Status')
