"""Forwards headers between caller and upstream."""

from __future__ import annotations

import re
from collections.abc import Iterable

import blacksheep

from quetzalsill.net import header

__all__ = [
    'STATUSES_WITHOUT_BODY',
    'content_type',
    'request_headers',
    'response',
]

STATUSES_WITHOUT_BODY = (204, 304)
DEFAULT_TYPE = b'application/octet-stream'
REQUEST_HEADERS_DROPPED = header.HOP_BY_HOP | {
    'authorization',
    'expect',
    'host',
    'prefer',
    'traceparent',
    'x-request-id',
    'x-quetzalsill-profile',
}
RESPONSE_HEADERS_DROPPED = header.HOP_BY_HOP | {
    'content-length',
    'content-type',
    'date',
    'server',
    'x-request-id',
}
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,256}")
UNSAFE_VALUE = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')


def request_headers(
    pairs: Iterable[tuple[bytes, bytes]],
) -> list[list[str]]:
    """Returns the caller's headers that are forwarded to the upstream.

    The caller's token is a credential of this system and is not forwarded.
    """
    return [
        [name.decode('latin-1'), value.decode('latin-1')]
        for name, value in pairs
        if name.decode('latin-1').lower() not in REQUEST_HEADERS_DROPPED
    ]


def response(status: int, pairs: Iterable[list[str]]) -> blacksheep.Response:
    """Builds a response without a body, with the upstream's headers."""
    headers = [
        (name.encode('latin-1'), value.encode('latin-1', 'replace'))
        for name, value in pairs
        if name.lower() not in RESPONSE_HEADERS_DROPPED
        and _is_safe(name, value)
    ]
    return blacksheep.Response(status, headers)


def content_type(pairs: Iterable[list[str]]) -> bytes:
    """Returns the upstream's content type, else a default."""
    for name, value in pairs:
        if name.lower() == 'content-type' and _is_safe(name, value):
            return value.encode('latin-1', 'replace')
    return DEFAULT_TYPE


def _is_safe(name: str, value: str) -> bool:
    """Whether a header is valid and cannot inject another one."""
    return bool(HEADER_NAME.fullmatch(name)) and not UNSAFE_VALUE.search(value)
