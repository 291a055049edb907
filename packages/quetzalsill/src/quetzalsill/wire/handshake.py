"""First two frames of a link: Hello from the router, then Welcome."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from quetzalsill.wire import codec, error, frame, message

if TYPE_CHECKING:
    import asyncio

__all__ = ['check_hello', 'check_welcome', 'read_first', 'write_first']

READ_BYTES = 4096


async def read_first(
    reader: asyncio.StreamReader, splitter: frame.Splitter
) -> message.Message:
    """Reads the first message of the peer.

    The splitter keeps the data received after it, and its limit is raised
    from that of a handshake to that of a link.

    Raises:
      error.LinkClosedError: The connection ended before a complete message.
      error.WireError: The first frame is malformed, unknown or too long.
    """
    while True:
        data = await reader.read(READ_BYTES)
        if not data:
            raise error.LinkClosedError('closed during the handshake')
        for body in splitter.feed(data):
            splitter.limit = frame.MAX_BODY_BYTES
            return codec.decode(body)


def write_first(writer: asyncio.StreamWriter, msg: message.Message) -> None:
    """Writes a handshake message."""
    writer.write(frame.pack(codec.encode(msg)))


def check_hello(msg: message.Message, credential: str) -> message.Hello:
    """Returns the Hello if its sender is accepted.

    Raises:
      error.ProtocolError: The message is not a Hello.
      error.VersionMismatchError: Its sender uses another protocol version.
      error.CredentialError: Its credential does not match.
    """
    if not isinstance(msg, message.Hello):
        raise error.ProtocolError(f'{type(msg).__name__} instead of Hello')
    _check_version(msg.version)
    if not hmac.compare_digest(msg.credential.encode(), credential.encode()):
        raise error.CredentialError('the credential is not that of this fleet')
    return msg


def check_welcome(msg: message.Message) -> message.Welcome:
    """Returns the Welcome if the peer accepted the link.

    Raises:
      error.RejectedError: The peer rejected it.
      error.ProtocolError: The message is not a Welcome.
      error.VersionMismatchError: Its sender uses another protocol version.
    """
    if isinstance(msg, message.Reject):
        raise error.RejectedError(msg.code, msg.detail)
    if not isinstance(msg, message.Welcome):
        raise error.ProtocolError(f'{type(msg).__name__} instead of Welcome')
    _check_version(msg.version)
    return msg


def _check_version(version: int) -> None:
    if version != message.VERSION:
        raise error.VersionMismatchError(
            f'this end speaks {message.VERSION}, the other {version}'
        )
