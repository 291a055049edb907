"""Token bucket that may go into debt."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ['Bucket']


class Bucket:
    """Units that flow in at a rate, up to a capacity.

    Attributes:
      rate: Units that flow in per second.
      capacity: Most units that gather in a quiet time.
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
        """Changes rate and capacity; what is over the new capacity goes."""
        self.level()
        self.rate = rate
        self.capacity = capacity
        self._level = min(self._level, capacity)

    def level(self) -> float:
        """Returns the units that are there; negative while in debt."""
        now = self._clock()
        gained = (now - self._updated) * self.rate
        self._level = min(self.capacity, self._level + gained)
        self._updated = now
        return self._level

    def consume(self, units: float) -> None:
        """Takes units, into debt if need be; negative units come back."""
        self._level = min(self.capacity, self.level() - units)

    def wait_s(self, units: float) -> float:
        """Returns the seconds until `units`, at most a full bucket, are in.

        It is 0 if they are there now.
        """
        missing = min(units, self.capacity) - self.level()
        if missing <= 0:
            return 0.0
        return missing / self.rate
