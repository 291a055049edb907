"""Frames: a four-byte big-endian length, followed by the body."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from quetzalsill.wire import error

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['MAX_BODY_BYTES', 'MAX_HANDSHAKE_BODY_BYTES', 'Splitter', 'pack']

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HANDSHAKE_BODY_BYTES = 4096
LENGTH = struct.Struct('>I')


def pack(body: bytes) -> bytes:
    """Prefixes a body with its length.

    Raises:
      error.OversizeFrameError: The body is longer than `MAX_BODY_BYTES` bytes.
    """
    if len(body) > MAX_BODY_BYTES:
        raise error.OversizeFrameError(
            f'{len(body)} bytes, {MAX_BODY_BYTES} are allowed'
        )
    return LENGTH.pack(len(body)) + body


class Splitter:
    """Splits a byte stream into the bodies of its frames.

    Attributes:
      limit: Largest accepted body, in bytes.
    """

    __slots__ = ('_buffer', 'limit')

    def __init__(self, limit: int = MAX_BODY_BYTES) -> None:
        self.limit = limit
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Adds received bytes and yields each complete body.

        Yields:
          Frame bodies, in order.

        Raises:
          error.OversizeFrameError: A frame announces more than `limit`
            bytes; it is rejected without waiting for its body.
        """
        buffer = self._buffer
        buffer += data
        while len(buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(buffer)
            if length > self.limit:
                raise error.OversizeFrameError(
                    f'{length} bytes, {self.limit} are allowed'
                )
            end = LENGTH.size + length
            if len(buffer) < end:
                return
            body = bytes(buffer[LENGTH.size : end])
            del buffer[:end]
            yield body
