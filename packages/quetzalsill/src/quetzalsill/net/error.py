"""Failures of connections, listeners and certificates."""

from __future__ import annotations

from quetzalsill.error import base

__all__ = [
    'ResponseLostError',
    'ResponseTimeoutError',
    'CertificateError',
    'ConnectFailedError',
    'ListenError',
    'NetError',
    'RequestInvalidError',
]


class NetError(base.QuetzalsillError):
    """A failure on the network.

    Attributes:
      ran: Whether the other end may have acted on the request.
    """

    code = 'net_failed'
    ran = base.Ran.NO


class ListenError(NetError):
    """A listener cannot be opened, or its application does not start."""

    code = 'listen_failed'


class CertificateError(NetError):
    """A certificate, key or authority file cannot be used."""

    code = 'certificate_invalid'


class ConnectFailedError(NetError):
    """No connection came about, so nothing of the request was sent."""

    code = 'connect_failed'


class RequestInvalidError(NetError):
    """The request cannot be written as HTTP, so nothing of it was sent."""

    code = 'request_invalid'


class ResponseLostError(NetError):
    """The request was sent, at least in part, and no whole answer came."""

    code = 'answer_lost'
    ran = base.Ran.UNKNOWN


class ResponseTimeoutError(ResponseLostError):
    """The request was sent and its answer did not come in time."""

    code = 'answer_timeout'
