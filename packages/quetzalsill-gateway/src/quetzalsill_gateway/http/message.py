"""Requests and answers as the gateway holds them."""

from __future__ import annotations

import dataclasses

__all__ = [
    'Headers',
    'Request',
    'ResponseHead',
    'end_to_end',
    'first',
    'reason',
    'relayed',
]

Headers = list[tuple[bytes, bytes]]

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
    """One whole request of a caller.

    Attributes:
      method: Method in capitals.
      target: Path and query as the caller sent them.
      headers: Names in lower case, in the order they came.
      body: The whole body.
      received_s: Loop time at which its first byte came, in seconds.
      version: HTTP version, `1.0` or `1.1`.
      keep_alive: Whether the caller wants the connection kept.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_s: float
    version: str = '1.1'
    keep_alive: bool = True

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b'?')[0]


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of an upstream's answer.

    Attributes:
      status: Status code.
      headers: Names in lower case, in the order they came.
      length: Length of the body in bytes; None if the head does not say.
    """

    status: int
    headers: Headers
    length: int | None = None


def first(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, None if it is absent."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers that concern more than one connection."""
    named = [
        token.strip().lower()
        for key, value in headers
        if key == b'connection'
        for token in value.split(b',')
    ]
    dropped = HOP_BY_HOP.union(named)
    return [(key, value) for key, value in headers if key not in dropped]


def relayed(head: ResponseHead) -> Headers:
    """Returns the headers of an answer whose body is framed anew."""
    return [p for p in end_to_end(head.headers) if p[0] != b'content-length']


def reason(status: int) -> bytes:
    """Returns the reason phrase of a status."""
    return REASONS.get(status, b'Status')
