"""The unsettled entries of a router, and the segments they still need."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_router.durable import entry as durable_entry

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['Unsettled']

# A taker reads from the floor to the end of a log. An entry that holds the
# floor further back than this is recorded anew, without its payload.
MAX_SPAN = 64
CARRY_SPAN = 32


@dataclasses.dataclass(slots=True)
class _Held:
    entry: durable_entry.Entry
    number: int
    settling: bool = False


class Unsettled:
    """Entries by request id, and a count of what pins each segment.

    Attributes:
      payload_bytes: Memory of the payloads.
    """

    def __init__(self) -> None:
        self.payload_bytes = 0
        self._held: dict[str, _Held] = {}
        self._pins: collections.Counter[int] = collections.Counter()

    def __len__(self) -> int:
        return len(self._held)

    def floor(self, following: int) -> int:
        """Gives the least segment that a taker must read.

        Args:
          following: Number of the segment that is written next.
        """
        return min(self._pins, default=following)

    def hold(self, entry: durable_entry.Entry, number: int) -> None:
        """Takes up an entry that was recorded in a segment."""
        self._held[entry.request] = _Held(entry, number)
        self._pins[number] += 1
        self.payload_bytes += len(entry.payload)

    def move(
        self, request: str, number: int, run: durable_entry.Run | None
    ) -> None:
        """Notes that an entry was recorded anew, with its newest run."""
        held = self._held.get(request)
        if held is not None:
            held.entry.run = run
            self._unpin(held.number)
            held.number = number
            self._pins[number] += 1

    def owned(self, entry: durable_entry.Entry) -> bool:
        """Whether the entry is held here and has no outcome yet."""
        held = self._held.get(entry.request)
        return held is not None and held.entry is entry and not held.settling

    def settling(self, request: str) -> None:
        """Notes that the outcome is on its way to the log."""
        self._held[request].settling = True

    def settled(self, request: str) -> None:
        """Lets go of an entry whose outcome is in the log."""
        held = self._held.pop(request, None)
        if held is not None:
            self._unpin(held.number)
            self.payload_bytes -= len(held.entry.payload)

    def pin(self, number: int) -> Callable[[], None]:
        """Keeps a segment above the floor until the result is called."""
        self._pins[number] += 1
        return lambda: self._unpin(number)

    def stragglers(self, following: int) -> list[durable_entry.Entry]:
        """Gives the entries to be recorded anew, so that the floor rises."""
        if following - self.floor(following) <= MAX_SPAN:
            return []
        return [
            held.entry
            for held in self._held.values()
            if held.number < following - CARRY_SPAN
        ]

    def oldest(self, log: str, otherwise: int) -> int:
        """Gives the least segment of a log in which an entry was accepted."""
        places = map(durable_entry.place_of, self._held)
        numbers = (place.segment for place in places if place.log == log)
        return min(numbers, default=otherwise)

    def _unpin(self, number: int) -> None:
        self._pins[number] -= 1
        if not self._pins[number]:
            del self._pins[number]
