"""Request body of a call, received from the router in pieces."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ['RequestBody']


class RequestBody:
    """Pieces that are received but not yet written to the upstream.

    Attributes:
      consumed: Pieces passed on so far, including the one in the Dispatch.
      overflowed: Whether the unwritten pieces exceeded `max_bytes`.
    """

    def __init__(self, first: bytes, *, is_open: bool, max_bytes: int) -> None:
        """Starts with the piece in the Dispatch.

        Args:
          first: That piece.
          is_open: Whether more pieces follow.
          max_bytes: Limit on the bytes held in memory.
        """
        self.consumed = 0
        self.overflowed = False
        self._pieces = collections.deque([first] if first else [])
        self._buffered_bytes = len(first)
        self._open = is_open
        self._max_bytes = max(max_bytes, len(first))
        self._changed = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether more pieces may follow."""
        return self._open

    def feed(self, data: bytes, *, last: bool) -> None:
        """Adds a piece received from the router.

        A router that exceeds its credit could exhaust this process's memory,
        so a body beyond the limit is marked as overflowed and the call fails.
        """
        if not self._open:
            return
        self._open = not last
        if self._buffered_bytes + len(data) > self._max_bytes:
            self.overflowed = True
            self._open = False
        elif data:
            self._pieces.append(data)
            self._buffered_bytes += len(data)
        self._changed.set()

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yields the pieces as they arrive, up to the last."""
        while True:
            while self._pieces:
                data = self._pieces.popleft()
                self._buffered_bytes -= len(data)
                self.consumed += 1
                yield data
            if not self._open:
                return
            self._changed.clear()
            await self._changed.wait()
