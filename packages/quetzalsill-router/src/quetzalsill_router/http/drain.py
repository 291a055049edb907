"""Tells when the caller has taken what was written to it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

__all__ = ['Drain', 'drained', 'with_drain']

KEY = 'quetzalsill.drain'
NOTHING = {'type': 'http.response.body', 'body': b'', 'more_body': True}

App = Callable[..., Awaitable[None]]
Drain = Callable[[], Awaitable[None]]


def with_drain(app: App) -> App:
    """Lets handlers wait until the server's buffer has emptied.

    The server takes a piece of an answer at once and waits before the next
    one. A sender that goes by the first alone would run one whole piece
    ahead of a caller that reads nothing, however large the piece is.
    """

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope['type'] == 'http':
            scope[KEY] = lambda: send(NOTHING)
        await app(scope, receive, send)

    return serve


def drained(scope: dict[str, Any]) -> Drain:
    """Returns the function that waits; only for an answer that has begun."""
    return scope[KEY]
