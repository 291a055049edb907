"""The unsettled entries of a router, and the segments they still need."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_router.durable import entry as durable_entry

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['UnsettledEntries']

# A taker reads from the floor to the end of a log. An entry that holds the
# floor further back than this is recorded anew, without its payload.
MAX_REPLAY_SEGMENTS = 64
REWRITE_AGE_SEGMENTS = 32


@dataclasses.dataclass(slots=True)
class _Tracked:
    entry: durable_entry.Entry
    number: int
    settling: bool = False


class UnsettledEntries:
    """Entries by request id, and a count of what pins each segment.

    Attributes:
      payload_bytes: Memory of the payloads.
    """

    def __init__(self) -> None:
        self.payload_bytes = 0
        self._tracked: dict[str, _Tracked] = {}
        self._pins: collections.Counter[int] = collections.Counter()

    def __len__(self) -> int:
        return len(self._tracked)

    def floor(self, next_number: int) -> int:
        """Gives the least segment that a taker must read.

        Args:
          next_number: Number of the segment that is written next.
        """
        return min(self._pins, default=next_number)

    def track(self, entry: durable_entry.Entry, number: int) -> None:
        """Takes up an entry that was recorded in a segment."""
        self._tracked[entry.request] = _Tracked(entry, number)
        self._pins[number] += 1
        self.payload_bytes += len(entry.payload)

    def record_rewrite(
        self, request: str, number: int, run: durable_entry.Run | None
    ) -> None:
        """Notes that an entry was recorded anew, with its newest run."""
        tracked = self._tracked.get(request)
        if tracked is not None:
            tracked.entry.run = run
            self._unpin(tracked.number)
            tracked.number = number
            self._pins[number] += 1

    def owns(self, entry: durable_entry.Entry) -> bool:
        """Whether the entry is held here and has no outcome yet."""
        tracked = self._tracked.get(entry.request)
        return (
            tracked is not None
            and tracked.entry is entry
            and not tracked.settling
        )

    def settling(self, request: str) -> None:
        """Notes that the outcome is on its way to the log."""
        self._tracked[request].settling = True

    def remove(self, request: str) -> None:
        """Lets go of an entry whose outcome is in the log."""
        tracked = self._tracked.pop(request, None)
        if tracked is not None:
            self._unpin(tracked.number)
            self.payload_bytes -= len(tracked.entry.payload)

    def pin(self, number: int) -> Callable[[], None]:
        """Keeps a segment above the floor until the result is called."""
        self._pins[number] += 1
        return lambda: self._unpin(number)

    def entries_to_rewrite(self, next_number: int) -> list[durable_entry.Entry]:
        """Gives the entries to be recorded anew, so that the floor rises."""
        if next_number - self.floor(next_number) <= MAX_REPLAY_SEGMENTS:
            return []
        return [
            tracked.entry
            for tracked in self._tracked.values()
            if tracked.number < next_number - REWRITE_AGE_SEGMENTS
        ]

    def oldest_segment(self, log: str, default: int) -> int:
        """Gives the least segment of a log in which an entry was accepted."""
        positions = map(durable_entry.parse_request_id, self._tracked)
        numbers = (
            position.segment for position in positions if position.log == log
        )
        return min(numbers, default=default)

    def _unpin(self, number: int) -> None:
        self._pins[number] -= 1
        if not self._pins[number]:
            del self._pins[number]
