"""The host list, which lags behind what is set."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['HostBoard']


class HostBoard:
    """Host lists with the time from which each one is seen."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._due: list[tuple[float, list[Any]]] = []
        self._seen: list[Any] = []

    def set(self, hosts: list[Any], lag_s: float) -> None:
        """Sets the list that is seen `lag_s` from now on."""
        self._due.append((self._clock() + lag_s, hosts))

    def seen(self) -> list[Any]:
        """Gives the list that is seen now."""
        now = self._clock()
        for at, hosts in self._due:
            if at <= now:
                self._seen = hosts
        self._due = [entry for entry in self._due if entry[0] > now]
        return self._seen
