"""Request body of a call, arriving in pieces."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ['RequestBody']


class RequestBody:
    """Pieces that came and are not yet written to the upstream.

    Attributes:
      taken: Pieces handed on so far, the one in the Dispatch among them.
      broken: The router sent more than was bounded.
    """

    def __init__(self, first: bytes, *, is_open: bool, max_bytes: int) -> None:
        """Begins with the piece in the Dispatch.

        Args:
          first: That piece.
          is_open: More will come.
          max_bytes: Bytes that may wait.
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
        """More pieces may come."""
        return self._open

    def feed(self, data: bytes, *, last: bool) -> None:
        """Takes a piece from the router.

        A router that runs ahead of its credit would fill this process's
        memory; beyond the bound the body is broken and the call fails.
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
        """Yields the pieces as they come, until the last."""
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
