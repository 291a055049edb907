"""What handlers need of the server beneath the application."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from quetzalsill.error import request as request_error

__all__ = ['Drain', 'TruncatedAnswerError', 'drain_of', 'wrap']

DRAIN_KEY = 'quetzalsill.drain'
EMPTY_CHUNK = {'type': 'http.response.body', 'body': b'', 'more_body': True}

App = Callable[..., Awaitable[None]]
Drain = Callable[[], Awaitable[None]]


class TruncatedAnswerError(request_error.RequestError):
    """The answer of a call broke off after its head was delivered."""

    code = 'answer_cut'


def wrap(app: App) -> App:
    """Lets handlers wait for the server's buffer, and cut an answer off.

    The server takes a piece of an answer at once and waits before the next
    one. A sender that goes by the first alone would run one whole piece
    ahead of a caller that reads nothing, however large the piece is.

    An answer that is not ended makes the server close the connection, so
    that nobody takes a part of it for the whole.
    """

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope['type'] == 'http':
            scope[DRAIN_KEY] = lambda: send(EMPTY_CHUNK)
        try:
            await app(scope, receive, send)
        except TruncatedAnswerError:
            return

    return serve


def drain_of(scope: dict[str, Any]) -> Drain:
    """Returns the function that waits; only for an answer that has begun."""
    return scope[DRAIN_KEY]
