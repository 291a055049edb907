"""Errors of connections, listeners and certificates."""

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
    """Base class of network errors.

    Attributes:
      ran: Whether the server may have acted on the request.
    """

    code = 'net_failed'
    ran = base.Ran.NO


class ListenError(NetError):
    """A listener cannot be opened, or its application failed to start."""

    code = 'listen_failed'


class CertificateError(NetError):
    """A certificate, key or CA file cannot be loaded."""

    code = 'certificate_invalid'


class ConnectFailedError(NetError):
    """The connection could not be opened; nothing was sent."""

    code = 'connect_failed'


class RequestInvalidError(NetError):
    """The request cannot be encoded as HTTP; nothing was sent."""

    code = 'request_invalid'


class ResponseLostError(NetError):
    """The request was at least partly sent, but no complete response came."""

    code = 'answer_lost'
    ran = base.Ran.UNKNOWN


class ResponseTimeoutError(ResponseLostError):
    """The request was sent, but its response did not come in time."""

    code = 'answer_timeout'
