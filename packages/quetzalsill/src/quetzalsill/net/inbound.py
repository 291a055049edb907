"""Passes the bytes of a client to a parser, one message at a time.

What a client sends ahead of an answer stays as it was received, and most of it
in the kernel: parsed, a message may take many times its size. Parsing is done
in slices, between which other connections have their turn.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.net import turns as turns_lib

__all__ = ['RECEIVE_BUFFER_BYTES', 'Inbound']

READ_BYTES = 65_536
# Reads outside of a body that has a length; what follows a message is kept.
HEAD_READ_BYTES = 16_384
AHEAD_READ_BYTES = 1024
PIECE_BYTES = 4096
# What the kernel receives for a connection that is not read.
RECEIVE_BUFFER_BYTES = 65_536
MESSAGE_END = b'\r\n\r\n'
TAIL_BYTES = len(MESSAGE_END) - 1

# Each read is handled before the next one, so that connections can share it.
_buffer = bytearray(READ_BYTES)
_view = memoryview(_buffer)


class Inbound:
    """The receiving side of one connection.

    It hands out bytes in pieces that end where a message may end, so that the
    parser never comes to a message before the one before it was answered.

    Attributes:
      body_left: Bytes that are left of a body with a length, which are passed
        on without a search for their end.
    """

    def __init__(
        self,
        feed: Callable[[bytes | memoryview], None],
        turns: turns_lib.Turns,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        """Starts before the first message.

        Args:
          feed: Parses a piece. It calls `end_message` at the end of a message,
            and `stop` if nothing more is to be parsed.
          turns: Shared by the connections of an event loop.
          on_change: Called after bytes were read or parsed.
        """
        self._feed = feed
        self._turns = turns
        self._on_change = on_change
        self._pending = b''
        self._position = 0
        self._tail = b''
        self._is_held = False
        self._is_blocked = False
        self._is_stopped = False
        self._is_discarding = False
        self._is_queued = False
        self._is_reading = True
        self.body_left = 0

    def attach(self, transport: asyncio.Transport) -> None:
        """Sets the transport, whose reading is paused as needed."""
        self._transport: asyncio.Transport = transport

    @property
    def held_bytes(self) -> int:
        """Bytes received and not parsed, by the process and the kernel."""
        kernel_bytes = 0 if self._is_reading else RECEIVE_BUFFER_BYTES
        return len(self._pending) + kernel_bytes

    @property
    def has_pending(self) -> bool:
        """Whether bytes of a further message were received."""
        return bool(self._pending)

    def buffer(self) -> memoryview:
        """Returns where the next bytes are to be read to."""
        if self._is_discarding:
            return _view
        if self._is_held:
            return _view[: max(1, AHEAD_READ_BYTES - len(self._pending))]
        if self.body_left > 0:
            return _view[: min(READ_BYTES, self.body_left)]
        return _view[:HEAD_READ_BYTES]

    def receive(self, size: int) -> None:
        """Handles bytes that were read to `buffer`.

        Args:
          size: Their number.
        """
        if self._is_stopped:
            return
        end = 0
        if not self._pending and self._may_parse:
            now_s = asyncio.get_running_loop().time()
            if self._turns.left_s(now_s) > 0:
                end = self._parse_slice(_view[:size])
        if end < size and not self._is_stopped:
            rest = self._pending[self._position :]
            self._pending = rest + bytes(_view[end:size])
            self._position = 0
        self._continue()

    def end_message(self) -> None:
        """Records the end of a message; the next one waits for `resume`."""
        self._is_held = True
        self._tail = b''

    def resume(self) -> None:
        """Goes on with the next message."""
        if self._is_held:
            self._is_held = False
            self._continue()

    def block(self, *, is_blocked: bool) -> None:
        """Pauses or continues within a message, as its reader requires."""
        if is_blocked != self._is_blocked:
            self._is_blocked = is_blocked
            self._continue()

    def stop(self) -> None:
        """Drops what is left and reads nothing more."""
        self._is_stopped = True
        self._pending = b''
        self._continue()

    def discard(self) -> None:
        """Reads on and drops all of it, after `stop`."""
        self._is_discarding = True
        self._continue()

    def _continue(self) -> None:
        """Parses what is pending in turns, and reads while nothing is."""
        if self._pending and self._may_parse and not self._is_queued:
            self._is_queued = True
            self._turns.add(self._take_turn)
        # A client that has left is noticed only while its bytes are read.
        may_hold = AHEAD_READ_BYTES if self._is_held else 1
        may_read = len(self._pending) < may_hold and not self._is_blocked
        if self._is_stopped:
            may_read = self._is_discarding
        self._set_reading(may_read)
        self._on_change()

    def _set_reading(self, is_reading: bool) -> None:
        if is_reading == self._is_reading or self._transport.is_closing():
            return
        self._is_reading = is_reading
        if is_reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _take_turn(self) -> None:
        """Parses a slice of what is pending."""
        self._is_queued = False
        if not self._pending or self._transport.is_closing():
            return
        rest = memoryview(self._pending)[self._position :]
        self._position += self._parse_slice(rest)
        if self._position >= len(self._pending):
            self._pending = b''
        self._continue()

    def _parse_slice(self, data: memoryview) -> int:
        """Parses a piece, and more up to the end of a message or of the time.

        Returns:
          Number of bytes that were parsed.
        """
        now = asyncio.get_running_loop().time
        begun_s = now()
        end_s = begun_s + self._turns.left_s(begun_s)
        position = 0
        while position < len(data) and self._may_parse:
            if self.body_left > 0:
                end = min(len(data), position + self.body_left)
                self.body_left -= end - position
                self._feed(data[position:end])
            else:
                piece = bytes(data[position : position + PIECE_BYTES])
                piece = piece[: self._message_end(piece)]
                end = position + len(piece)
                self._tail = (self._tail + piece)[-TAIL_BYTES:]
                self._feed(piece)
            position = end
            if now() >= end_s:
                break
        self._turns.spend(now() - begun_s)
        return position

    @property
    def _may_parse(self) -> bool:
        return not (self._is_held or self._is_blocked or self._is_stopped)

    def _message_end(self, piece: bytes) -> int:
        """Returns where the first message in a piece ends at the latest.

        A request without a body, and a chunked one, end after an empty line.
        """
        tail = self._tail
        start = (tail + piece[:TAIL_BYTES]).find(MESSAGE_END)
        if start >= 0:
            return start + len(MESSAGE_END) - len(tail)
        start = piece.find(MESSAGE_END)
        return len(piece) if start < 0 else start + len(MESSAGE_END)
