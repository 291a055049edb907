"""HTTP requests, response heads and headers."""

from __future__ import annotations

import dataclasses

__all__ = [
    'Headers',
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
    headers: Headers
    body: bytes
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


def values(headers: Headers, name: bytes) -> list[bytes]:
    """Returns the values of all headers of a name, in lower case."""
    return [value for key, value in headers if key == name]


def logged(headers: Headers, name: bytes) -> str:
    """Returns the first value of a header as text for the log, truncated."""
    return (first(headers, name) or b'')[:MAX_LOGGED_BYTES].decode('latin-1')


def first(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header; None if it is absent."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
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
