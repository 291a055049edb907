"""Order of the calls that wait until a limit of their servers allows them."""

from __future__ import annotations

import dataclasses
import itertools

__all__ = ['Entry', 'RateQueue']


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Entry:
    """A waiting call; the lowest one goes first.

    Attributes:
      priority: Priority of the call; 0 is the most urgent.
      sequence: Order of arrival.
      service: Service that it waits for.
    """

    priority: int
    sequence: int
    service: str


class RateQueue:
    """Calls of one gateway that wait, by service."""

    def __init__(self) -> None:
        self._waiting: dict[str, set[Entry]] = {}
        self._sequence = itertools.count()

    def enter(self, service: str, priority: int) -> Entry:
        """Adds a call."""
        entry = Entry(priority, next(self._sequence), service)
        self._waiting.setdefault(service, set()).add(entry)
        return entry

    def leave(self, entry: Entry) -> None:
        """Removes a call."""
        waiting = self._waiting[entry.service]
        waiting.discard(entry)
        if not waiting:
            del self._waiting[entry.service]

    def ahead(self, entry: Entry) -> int:
        """Returns the number of calls that go before a call."""
        return sum(one < entry for one in self._waiting[entry.service])
