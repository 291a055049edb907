"""Failures of calls to upstreams."""

from __future__ import annotations

from quetzalsill.error import base

__all__ = [
    'CallError',
    'UpstreamClosedError',
    'ConnectError',
    'ConnectionEndedError',
    'MalformedResponseError',
    'ConnectionLimitError',
    'NotSentError',
    'ResponseTimeoutError',
    'TruncatedError',
    'ConnectTimeoutError',
]


class CallError(base.QuetzalsillError):
    """A call to an upstream brought no whole answer.

    Attributes:
      ran: Whether the upstream may have acted on the request.
    """

    code = 'upstream_failed'
    ran = base.Ran.UNKNOWN


class ConnectError(CallError):
    """No connection came about, so nothing of the request was sent."""

    code = 'upstream_unreachable'
    ran = base.Ran.NO


class ConnectTimeoutError(ConnectError):
    """Nobody answered in time that a connection should be opened.

    A refusal says that nobody listens there; silence may be a lost packet, or a
    queue of connections that is full.
    """

    code = 'upstream_unanswered'


class ConnectionEndedError(ConnectError):
    """The connection ended before anything was sent on it.

    The upstream had taken it, so that it is there.
    """

    code = 'connection_ended'


class NotSentError(ConnectError):
    """This gateway has not sent the request; the upstream is not at fault."""

    code = 'not_sent'


class UpstreamClosedError(NotSentError):
    """The upstream takes no more work since it was chosen."""

    code = 'upstream_closed'


class ConnectionLimitError(NotSentError):
    """This gateway has all the connections to the upstream that it may have."""

    code = 'no_connection_left'


class TruncatedError(CallError):
    """The connection ended before the answer was whole.

    Attributes:
      was_reset: It broke; if not, the upstream closed it.
    """

    code = 'answer_truncated'

    def __init__(self, detail: str = '', *, was_reset: bool = False) -> None:
        super().__init__(detail)
        self.was_reset = was_reset


class MalformedResponseError(CallError):
    """The upstream sent bytes that are no HTTP answer."""

    code = 'answer_malformed'


class ResponseTimeoutError(CallError):
    """Nothing came within the time given."""

    code = 'upstream_silent'
