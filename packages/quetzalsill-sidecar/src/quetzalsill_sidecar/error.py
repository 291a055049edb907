"""Errors of the exchanges between a sidecar and its upstream."""

from __future__ import annotations

from quetzalsill.error import base

__all__ = [
    'ResponseLostError',
    'UpstreamStatusError',
    'ExchangeError',
    'GenerationGoneError',
    'GenerationUnreachableError',
    'OrderWithheldError',
    'RequestMalformedError',
    'UpstreamConnectError',
]


class ExchangeError(base.QuetzalsillError):
    """An exchange with the upstream yielded no valid response."""

    code = 'exchange_failed'


class UpstreamConnectError(ExchangeError):
    """Connecting to the upstream failed; nothing was sent.

    Attributes:
      refused: The connection was refused, as it is when the upstream process
        is dead.
    """

    code = 'upstream_connect'

    def __init__(self, detail: str, *, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class ResponseLostError(ExchangeError):
    """The connection closed, timed out or broke the protocol mid-exchange."""

    code = 'answer_lost'


class UpstreamStatusError(ExchangeError):
    """The upstream responded with an error status.

    Attributes:
      status: HTTP status of the response.
      body: First bytes of the response body.
    """

    code = 'answer_rejected'

    def __init__(self, status: int, body: bytes) -> None:
        text = body[:200].decode('utf-8', 'replace')
        super().__init__(f'upstream answered {status}: {text}')
        self.status = status
        self.body = body


class OrderWithheldError(ExchangeError):
    """An order was not sent because this process may no longer send it."""

    code = 'order_withheld'


class GenerationGoneError(base.QuetzalsillError):
    """The engine has confirmed that it no longer has the generation."""

    code = 'generation_gone'


class GenerationUnreachableError(base.QuetzalsillError):
    """The engine was unreachable for too long; work may still be running."""

    code = 'generation_unreachable'


class RequestMalformedError(base.QuetzalsillError):
    """The request is not valid HTTP, or its body has the wrong length."""

    code = 'request_malformed'
