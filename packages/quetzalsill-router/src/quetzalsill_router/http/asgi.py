"""Backpressure and truncation of responses between app and server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from quetzalsill.error import request as request_error

__all__ = ['Drain', 'TruncatedAnswerError', 'drain_of', 'wrap']

DRAIN_KEY = 'quetzalsill.drain'
RESPONSE_START = 'http.response.start'
CONNECTION_CLOSE = (b'connection', b'close')
EMPTY_CHUNK = {'type': 'http.response.body', 'body': b'', 'more_body': True}

App = Callable[..., Awaitable[None]]
Drain = Callable[[], Awaitable[None]]


class TruncatedAnswerError(request_error.RequestError):
    """The response to a call failed after its head was delivered."""

    code = 'answer_cut'


def wrap(app: App, closes_connections: Callable[[], bool]) -> App:
    """Lets handlers wait for the server's write buffer and truncate a body.

    The server accepts a body chunk immediately and waits before the next one.
    Without an explicit drain, a handler would run one chunk of any size ahead
    of a caller that does not read.

    If a response is left unfinished, the server closes the connection, so
    that a partial body is not taken for a complete one.

    Args:
      app: The application.
      closes_connections: Returns whether a response that begins now closes its
        connection. A caller that kept it would not reach another router.
    """

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        async def send_message(message: dict[str, Any]) -> None:
            if message['type'] == RESPONSE_START and closes_connections():
                headers = [*message['headers'], CONNECTION_CLOSE]
                message = message | {'headers': headers}
            await send(message)

        if scope['type'] == 'http':
            scope[DRAIN_KEY] = lambda: send(EMPTY_CHUNK)
        try:
            await app(scope, receive, send_message)
        except TruncatedAnswerError:
            return

    return serve


def drain_of(scope: dict[str, Any]) -> Drain:
    """Returns the drain function, valid once the response has started."""
    return scope[DRAIN_KEY]
