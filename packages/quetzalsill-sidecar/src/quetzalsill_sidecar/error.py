"""Failures of the sidecar's own exchanges with its upstream."""

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
    """An exchange with the upstream gave no proper answer."""

    code = 'exchange_failed'


class UpstreamConnectError(ExchangeError):
    """No connection to the upstream could be opened; nothing was written.

    Attributes:
      refused: Nobody listens there, as when its process is dead.
    """

    code = 'upstream_connect'

    def __init__(self, detail: str, *, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class ResponseLostError(ExchangeError):
    """The connection ended, fell silent or broke the protocol mid-exchange."""

    code = 'answer_lost'


class UpstreamStatusError(ExchangeError):
    """The upstream answered with a status that is no success.

    Attributes:
      status: HTTP status of the answer.
      body: First bytes of its body.
    """

    code = 'answer_rejected'

    def __init__(self, status: int, body: bytes) -> None:
        text = body[:200].decode('utf-8', 'replace')
        super().__init__(f'upstream answered {status}: {text}')
        self.status = status
        self.body = body


class OrderWithheldError(ExchangeError):
    """An order was not sent: this process may not give it any more."""

    code = 'order_withheld'


class GenerationGoneError(base.QuetzalsillError):
    """The engine proved that it no longer has the generation."""

    code = 'generation_gone'


class GenerationUnreachableError(base.QuetzalsillError):
    """The engine stayed out of reach beyond the bound; work may go on."""

    code = 'generation_unreachable'


class RequestMalformedError(base.QuetzalsillError):
    """The request can't be written as HTTP, or its body breaks its length."""

    code = 'request_malformed'
