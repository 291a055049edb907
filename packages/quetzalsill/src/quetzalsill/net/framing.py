"""Bounds what a peer sends besides the body of a message.

Status lines, headers, interim responses, chunk sizes with their extensions and
trailers have no length that a parser knows ahead. A faulty peer may send them
without end, quickly or a byte at a time.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

__all__ = ['Framing', 'Limits', 'TooLongError']

# Size lines of the smallest chunks, per byte of their data.
BYTES_PER_BODY_BYTE = 8


class TooLongError(Exception):
    """A limit was exceeded; the message says which."""


class Parser(Protocol):
    """A parser that calls back for the parts of a message."""

    def feed_data(self, data: bytes | memoryview) -> None:
        """Parses bytes."""


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits on what is not part of a body.

    Attributes:
      head_bytes: Maximum size of all of it, in bytes; chunked bodies may have
        size lines besides.
      head_s: Longest time from the first byte of a part to its end, in seconds.
    """

    head_bytes: int = 65_536
    head_s: float = 2.0


class Framing:
    """Feeds the bytes of one message at a time to a parser, within limits."""

    def __init__(
        self,
        limits: Callable[[], Limits],
        on_timeout: Callable[[str], None] | None = None,
    ) -> None:
        """Starts before a message.

        Args:
          limits: Returns the limits, which may change.
          on_timeout: Called with the reason when a part takes too long; None if
            its time is bounded elsewhere.
        """
        self._limits = limits
        self._on_timeout = on_timeout
        self._body_bytes = 0
        self._other_bytes = 0
        self._has_ended = False
        self._has_progress = False
        self._timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Starts a message."""
        self._body_bytes = self._other_bytes = 0
        self.stop()

    def stop(self) -> None:
        """Stops the time limit."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def add_body(self, size: int, *, is_progress: bool = True) -> None:
        """Counts bytes of a body, which the parser has just passed on.

        Args:
          size: Their number.
          is_progress: Whether they belong to the message that is awaited.
        """
        self._body_bytes += size
        self._has_progress |= is_progress

    def end_part(self) -> None:
        """Records that the parser has come to the end of a head or chunk."""
        self._has_progress = True

    def end(self) -> None:
        """Records that the parser has come to the end of a message."""
        self._has_ended = self._has_progress = True

    def feed(self, parser: Parser, data: bytes | memoryview) -> None:
        """Parses bytes.

        Raises:
          TooLongError: They exceed the size; the rest was not parsed.
        """
        while data:
            left = self._left()
            if left <= 0:
                raise TooLongError(
                    f'more than {self._limits().head_bytes} bytes of a head,'
                    ' size lines or trailers'
                )
            part, data = data[:left], data[left:]
            before = self._body_bytes
            self._has_ended = self._has_progress = False
            parser.feed_data(part)
            self._other_bytes += len(part) - (self._body_bytes - before)
            if self._has_ended:
                self._body_bytes = self._other_bytes = 0
            if self._has_progress:
                self.stop()
            elif self._timer is None and self._on_timeout is not None:
                self._timer = asyncio.get_running_loop().call_later(
                    self._limits().head_s, self._time_out
                )

    def _left(self) -> int:
        chunk_bytes = BYTES_PER_BODY_BYTE * self._body_bytes
        return self._limits().head_bytes + chunk_bytes - self._other_bytes

    def _time_out(self) -> None:
        self._timer = None
        self._on_timeout(
            f'a head, size line or trailers took over {self._limits().head_s} s'
        )
