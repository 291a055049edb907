"""Failures of a link between router and sidecar."""

from __future__ import annotations

from quetzalsill.error import base

__all__ = [
    'CredentialError',
    'DialError',
    'HandshakeTimeoutError',
    'LinkClosedError',
    'LinkOverflowError',
    'LinkSilentError',
    'MalformedFrameError',
    'OversizeFrameError',
    'ProtocolError',
    'RejectedError',
    'UnknownMessageError',
    'VersionMismatchError',
    'WireError',
]


class WireError(base.QuetzalsillError):
    """A link failed; nothing else is disturbed by it."""

    code = 'wire_failed'


class MalformedFrameError(WireError):
    """A frame is not the encoding of a message."""

    code = 'malformed_frame'


class UnknownMessageError(WireError):
    """A frame carries a type number that this version does not know."""

    code = 'unknown_message'


class OversizeFrameError(WireError):
    """A frame is longer than allowed."""

    code = 'oversize_frame'


class ProtocolError(WireError):
    """A message is well formed but not allowed at this point."""

    code = 'protocol_violation'


class VersionMismatchError(WireError):
    """The other end speaks another version of the protocol."""

    code = 'version_mismatch'
    advice = 'Run the same release on both ends.'


class CredentialError(WireError):
    """The dialling end does not know the credential of the fleet."""

    code = 'wrong_credential'
    advice = 'Put the same link credential into the settings of both ends.'


class HandshakeTimeoutError(WireError):
    """The other end did not complete the handshake in time."""

    code = 'handshake_timeout'


class DialError(WireError):
    """No connection could be made."""

    code = 'dial_failed'


class RejectedError(WireError):
    """The other end closed the link for a reason that it named.

    Attributes:
      reason: Code that the other end gave.
    """

    code = 'link_rejected'

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f'{reason}: {detail}')
        self.reason = reason


class LinkClosedError(WireError):
    """The link is closed; a new one has to be dialled."""

    code = 'link_closed'


class LinkSilentError(LinkClosedError):
    """Nothing arrived for longer than the link may be silent."""

    code = 'link_silent'


class LinkOverflowError(LinkClosedError):
    """The other end reads too slowly; the link was dropped."""

    code = 'link_overflow'
