"""Request body of a call, sent with flow control."""

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
# The minimum body buffer that a sidecar can be configured with.
WINDOW_BYTES = 65536


class Upload:
    """Flow control for the pieces of one body.

    The sidecar acknowledges each piece with Credit, including the one in the
    Dispatch. Without it, a slow app server would fill the sidecar's memory or
    stall all other traffic on the link.
    """

    def __init__(self, dispatch: message.Dispatch) -> None:
        """Starts with the piece in the Dispatch."""
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
        """Whether the body was aborted before its last piece."""
        return self._open and self._aborted

    async def pieces(
        self, data: bytes, last: bool
    ) -> AsyncIterator[message.Body]:
        """Yields the messages for `data`, each once the window permits it.

        Raises:
          wire_error.LinkClosedError: The body was aborted.
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
        """Records that `acknowledged` pieces were written to the app server."""
        while self._acknowledged < acknowledged and self._unacknowledged:
            self._unacknowledged.popleft()
            self._acknowledged += 1
        self._changed.set()

    def abort(self) -> None:
        """Aborts the body: the link is lost or the call has ended."""
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
            raise wire_error.LinkClosedError('the request body was aborted')


def _split_pieces(data: bytes) -> Iterator[bytes]:
    return (
        data[start : start + PIECE_BYTES]
        for start in range(0, len(data), PIECE_BYTES)
    )
