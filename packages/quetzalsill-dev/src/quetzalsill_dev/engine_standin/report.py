"""Load and cache events, which the engine publishes with a lag."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill_dev.engine_standin import prefix_cache, switches

__all__ = ['CacheLog', 'LoadLog']

MAX_LOADS = 20_000
MAX_EVENTS = 20_000


class LoadLog:
    """Past load figures; reports the newest one older than the lag."""

    def __init__(
        self, switch: switches.Switches, clock: Callable[[], float]
    ) -> None:
        self._switch = switch
        self._clock = clock
        self._past: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=MAX_LOADS)
        )

    def add(self, load: dict[str, Any]) -> None:
        """Records the current load."""
        self._past.append((self._clock(), load))

    def read(self) -> dict[str, Any]:
        """Returns the load at the time `lag_s` ago."""
        due = self._clock() - self._switch.lag_s
        while len(self._past) > 1 and self._past[1][0] <= due:
            self._past.popleft()
        return self._past[0][1]


@dataclasses.dataclass(slots=True, frozen=True)
class _Numbered:
    seq: int
    at: float
    event: prefix_cache.CacheEvent


class CacheLog:
    """Numbered cache events; a lost event leaves a gap."""

    def __init__(
        self, switch: switches.Switches, clock: Callable[[], float]
    ) -> None:
        self._switch = switch
        self._clock = clock
        self._numbers = itertools.count(1)
        self._events: collections.deque[_Numbered] = collections.deque(
            maxlen=MAX_EVENTS
        )

    def add(self, event: prefix_cache.CacheEvent) -> None:
        """Numbers an event and stores it, unless it is to be lost."""
        number = next(self._numbers)
        gap = self._switch.cache_gap
        if not gap or number % gap:
            self._events.append(_Numbered(number, self._clock(), event))

    def since(self, seq: int) -> list[dict[str, Any]]:
        """Returns the events after `seq` that are older than the lag."""
        due = self._clock() - self._switch.cache_lag_s
        return [
            {
                'seq': numbered.seq,
                'prefix': numbered.event.prefix,
                'cached': numbered.event.cached,
            }
            for numbered in self._events
            if numbered.seq > seq and numbered.at <= due
        ]
