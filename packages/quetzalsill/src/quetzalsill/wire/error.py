"""Errors of a link between router and sidecar."""

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
    """A link failed; other links are not affected."""

    code = 'wire_failed'


class MalformedFrameError(WireError):
    """A frame is not the encoding of a message."""

    code = 'malformed_frame'


class UnknownMessageError(WireError):
    """A frame has a type number that is unknown to this version."""

    code = 'unknown_message'


class OversizeFrameError(WireError):
    """A frame is longer than allowed."""

    code = 'oversize_frame'


class ProtocolError(WireError):
    """A message is well-formed but not allowed at this point."""

    code = 'protocol_violation'


class VersionMismatchError(WireError):
    """The peer uses another version of the protocol."""

    code = 'version_mismatch'
    advice = 'Run the same release on both ends.'


class CredentialError(WireError):
    """The dialling end sent the wrong credential."""

    code = 'wrong_credential'
    advice = 'Put the same link credential into the settings of both ends.'


class HandshakeTimeoutError(WireError):
    """The peer did not complete the handshake in time."""

    code = 'handshake_timeout'


class DialError(WireError):
    """The connection could not be opened."""

    code = 'dial_failed'


class RejectedError(WireError):
    """The peer closed the link and sent the reason.

    Attributes:
      reason: Error code sent by the peer.
    """

    code = 'link_rejected'

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f'{reason}: {detail}')
        self.reason = reason


class LinkClosedError(WireError):
    """The link is closed; a new one must be dialled."""

    code = 'link_closed'


class LinkSilentError(LinkClosedError):
    """No data was received within the silence timeout."""

    code = 'link_silent'


class LinkOverflowError(LinkClosedError):
    """The peer reads too slowly; the link was closed."""

    code = 'link_overflow'
