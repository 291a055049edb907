"""Request headers from the caller, and detection of its disconnect."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

from quetzalsill_router.request import field

if TYPE_CHECKING:
    import blacksheep

    from quetzalsill_router.request import active

__all__ = [
    'IDEMPOTENCY_KEY',
    'idempotency_key',
    'prefers_async',
    'profile_name',
    'traceparent',
    'watch_disconnect',
]

IDEMPOTENCY_KEY = re.compile(r'[!-~]{1,255}')
PROFILE_NAME = re.compile(r'[a-z0-9][a-z0-9._-]{0,62}')
TRACEPARENT = re.compile(r'[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')


def idempotency_key(request: blacksheep.Request) -> str:
    """Returns the idempotency key; empty if there is none.

    Raises:
      FieldError: The key is not 1 to 255 printable ASCII characters.
    """
    return _header(
        request, 'Idempotency-Key', IDEMPOTENCY_KEY, '1 to 255 of ! to ~'
    )


def profile_name(request: blacksheep.Request) -> str:
    """Returns the profile that the caller requests; empty if none.

    Raises:
      FieldError: The value is not a valid name.
    """
    return _header(
        request,
        'X-Quetzalsill-Profile',
        PROFILE_NAME,
        'lower-case letters, digits, dots, dashes',
    )


def traceparent(request: blacksheep.Request) -> str:
    """Returns the caller's W3C traceparent; empty if absent or malformed."""
    header = request.get_first_header(b'traceparent') or b''
    text = header.decode('latin-1')
    return text if TRACEPARENT.fullmatch(text) else ''


def prefers_async(request: blacksheep.Request) -> bool:
    """Whether the caller sent `Prefer: respond-async`."""
    header = request.get_first_header(b'prefer') or b''
    parts = header.decode('latin-1').lower().split(',')
    return 'respond-async' in [part.strip() for part in parts]


def watch_disconnect(
    request: blacksheep.Request, running: active.ActiveRequest
) -> None:
    """Notifies the request when its caller disconnects.

    Must be called after the body has been read. The server reports a closed
    connection only to a pending receive; without one, a disconnect while the
    answer is pending would go unnoticed.
    """
    running.watcher = asyncio.create_task(
        _watch(request.content.receive, running),
        name=f'watch {running.work.request}',
    )


async def _watch(receive: object, running: active.ActiveRequest) -> None:
    """Receives until the connection closes or the response is complete."""
    while (await receive())['type'] != 'http.disconnect':
        pass
    running.caller_disconnected()


def _header(
    request: blacksheep.Request,
    name: str,
    pattern: re.Pattern[str],
    expected: str,
) -> str:
    """Returns a header; checks that it occurs once and fits the pattern."""
    values = request.get_headers(name.lower().encode())
    if not values:
        return ''
    text = values[0].decode('latin-1')
    if len(values) > 1 or not pattern.fullmatch(text):
        raise field.FieldError(name, f'must come once and be {expected}')
    return text
