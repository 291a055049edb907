"""Request body of a call, sent as fast as the sidecar takes it."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from quetzalsill.wire import error as wire_error
from quetzalsill.wire import message

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

__all__ = ['PIECE_BYTES', 'WINDOW_BYTES', 'Upload']

PIECE_BYTES = 32768
# The least that a sidecar may be set to keep of a body.
WINDOW_BYTES = 65536


class Upload:
    """Paces the pieces of one body.

    The sidecar acknowledges pieces by Credit, the one in the Dispatch among
    them. A slow app server would otherwise fill the sidecar's memory, or hold
    up all that shares the link.
    """

    def __init__(self, dispatch: message.Dispatch) -> None:
        """Begins with the piece in the Dispatch."""
        self._attempt = dispatch.attempt
        self._open = dispatch.body_open
        self._aborted = False
        self._acknowledged = 0
        self._unacknowledged = collections.deque(
            filter(None, [len(dispatch.payload)])
        )
        self._changed = asyncio.Event()

    @property
    def incomplete(self) -> bool:
        """The body was cut off before its last piece."""
        return self._open and self._aborted

    async def pieces(
        self, data: bytes, last: bool
    ) -> AsyncIterator[message.Body]:
        """Yields the messages for `data`, each when there is room for it.

        Raises:
          wire_error.LinkClosedError: The body was cut off.
        """
        for piece in _split_pieces(data):
            await self._wait_for_window(len(piece))
            self._unacknowledged.append(len(piece))
            yield message.Body(self._attempt, piece, False)
        if last:
            self._check_not_aborted()
            self._open = False
            yield message.Body(self._attempt, b'', True)

    def acknowledge(self, acknowledged: int) -> None:
        """The sidecar has written `acknowledged` pieces to the app server."""
        while self._acknowledged < acknowledged and self._unacknowledged:
            self._unacknowledged.popleft()
            self._acknowledged += 1
        self._changed.set()

    def abort(self) -> None:
        """Nothing more can be sent: the link is lost or the call ended."""
        self._aborted = True
        self._changed.set()

    async def _wait_for_window(self, size: int) -> None:
        self._check_not_aborted()
        while (
            self._unacknowledged
            and sum(self._unacknowledged) + size > WINDOW_BYTES
        ):
            self._changed.clear()
            await self._changed.wait()
            self._check_not_aborted()

    def _check_not_aborted(self) -> None:
        if self._aborted:
            raise wire_error.LinkClosedError('the body was cut off')


def _split_pieces(data: bytes) -> Iterator[bytes]:
    return (
        data[start : start + PIECE_BYTES]
        for start in range(0, len(data), PIECE_BYTES)
    )
