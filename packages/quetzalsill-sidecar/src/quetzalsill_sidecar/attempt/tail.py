"""Unacknowledged items of a response, sent as credit allows."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill.wire import message

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['Tail']

CHUNK_BYTES = 262_144


class Tail:
    """Items of one response that the router has not acknowledged.

    Items are numbered from 0. Those below `start` were acknowledged and
    dropped; those from `start` on can be sent again over a new link. Items
    below `limit` are covered by credit.

    Attributes:
      start: Number of the first item still held.
      sent: Number of the next item to send.
      limit: Number of the first item not covered by credit.
      end: Total number of items received.
    """

    def __init__(
        self,
        attempt: str,
        credit: int,
        max_bytes: int,
        *,
        keep_all: bool = False,
    ) -> None:
        """Makes an empty tail.

        Args:
          attempt: Id of the attempt, for the chunks.
          credit: Items that may be sent initially.
          max_bytes: Held bytes from which on `wait_for_room` blocks.
          keep_all: Keep acknowledged items too, so that another router can
            take over the response from its first item.
        """
        self.start = 0
        self.sent = 0
        self.limit = credit
        self._attempt = attempt
        self._max_bytes = max_bytes
        self._keep_all = keep_all
        self._items: list[bytes] = []
        self._bytes = 0
        self._acknowledged = 0
        self._has_room = asyncio.Event()
        self._has_room.set()

    @property
    def end(self) -> int:
        """Total number of items received."""
        return self.start + len(self._items)

    @property
    def all_sent(self) -> bool:
        """Whether every item was sent over the current link."""
        return self.sent >= self.end

    def append(self, items: list[bytes]) -> None:
        """Adds further items of the response."""
        self._items += items
        self._bytes += sum(map(len, items))
        self._update_room()

    async def wait_for_room(self) -> None:
        """Waits until fewer than `max_bytes` are held."""
        await self._has_room.wait()

    def grant(self, seq: int, items: int) -> None:
        """Adds credit for `items` and acknowledges all items below `seq`."""
        self.limit += items
        self._drop_below(seq)

    def rewind(self, seq: int, credit: int) -> bool:
        """Rewinds to item `seq` for a new link.

        Returns:
          False if items from `seq` on were dropped or not yet received.
        """
        if not self.start <= seq <= self.end:
            return False
        self._drop_below(seq)
        self.sent = seq
        self.limit = seq + credit
        return True

    def restart(self, credit: int) -> None:
        """Rewinds to the first item held; `credit` counts from there."""
        self.sent = self.start
        self.limit = self.start + credit

    def send(self, put: Callable[[message.Message], None]) -> None:
        """Sends the items that credit allows, in chunks of limited size."""
        stop = min(self.end, self.limit)
        while self.sent < stop:
            items = self._next_chunk(self.sent - self.start, stop - self.start)
            put(message.Chunk(self._attempt, self.sent, items))
            self.sent += len(items)

    def _next_chunk(self, first: int, stop: int) -> list[bytes]:
        size = 0
        last = first
        while last < stop and (size < CHUNK_BYTES or last == first):
            size += len(self._items[last])
            last += 1
        return self._items[first:last]

    def _drop_below(self, seq: int) -> None:
        self._acknowledged = max(self._acknowledged, min(seq, self.sent))
        if self._keep_all:
            return
        count = self._acknowledged - self.start
        if count <= 0:
            return
        self._bytes -= sum(map(len, self._items[:count]))
        del self._items[:count]
        self.start += count
        self._update_room()

    def _update_room(self) -> None:
        if self._bytes < self._max_bytes:
            self._has_room.set()
        else:
            self._has_room.clear()
