"""Token bucket whose level may become negative."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ['Bucket']


class Bucket:
    """Token bucket refilled at a constant rate up to a capacity.

    Attributes:
      rate: Units added per second.
      capacity: Maximum level, reached after an idle period.
    """

    def __init__(
        self, rate: float, capacity: float, clock: Callable[[], float]
    ) -> None:
        self.rate = rate
        self.capacity = capacity
        self._clock = clock
        self._level = capacity
        self._updated = clock()

    def resize(self, rate: float, capacity: float) -> None:
        """Sets rate and capacity; units above the new capacity are lost."""
        self.level()
        self.rate = rate
        self.capacity = capacity
        self._level = min(self._level, capacity)

    def level(self) -> float:
        """Returns the current level, which is negative while in debt."""
        now = self._clock()
        refill = (now - self._updated) * self.rate
        self._level = min(self.capacity, self._level + refill)
        self._updated = now
        return self._level

    def consume(self, units: float) -> None:
        """Subtracts `units`, below zero if necessary; negative ones refund."""
        self._level = min(self.capacity, self.level() - units)

    def wait_s(self, units: float) -> float:
        """Returns the seconds until the level reaches `units`.

        `units` are capped at the capacity. The result is 0 if the level is
        already sufficient.
        """
        missing = min(units, self.capacity) - self.level()
        if missing <= 0:
            return 0.0
        return missing / self.rate
