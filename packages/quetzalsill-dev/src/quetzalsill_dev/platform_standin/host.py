"""The host list, which becomes visible after a lag."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['HostBoard']


class HostBoard:
    """Host lists with the time from which each one is visible."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._due: list[tuple[float, list[Any]]] = []
        self._seen: list[Any] = []

    def set(self, hosts: list[Any], lag_s: float) -> None:
        """Sets the list that becomes visible in `lag_s` seconds."""
        self._due.append((self._clock() + lag_s, hosts))

    def seen(self) -> list[Any]:
        """Returns the list that is visible now."""
        now = self._clock()
        for at, hosts in self._due:
            if at <= now:
                self._seen = hosts
        self._due = [entry for entry in self._due if entry[0] > now]
        return self._seen
