"""Memory to keep free for prompt work, learnt from what it held lately.

A fixed part of the memory is too small when handsets are busy and wasted when
they are not. What prompt work will take next is near what it took on the
average of the last seconds, and seldom beyond twice the deviation above.
"""

from __future__ import annotations

import math

__all__ = ['Headroom']

TIME_CONSTANT_S = 10.0
DEVIATIONS = 2.0


class Headroom:
    """Mean and deviation of the memory that prompt work holds, by time."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._mean_square = 0.0
        self._held = 0
        self._updated_at: float | None = None

    def note(self, held_tokens: int, now: float) -> None:
        """Notes what prompt work holds from `now` (monotonic seconds) on."""
        if self._updated_at is not None:
            weight = 1.0 - math.exp((self._updated_at - now) / TIME_CONSTANT_S)
            self._mean += weight * (self._held - self._mean)
            self._mean_square += weight * (self._held**2 - self._mean_square)
        self._updated_at = now
        self._held = held_tokens

    def reserve(self) -> float:
        """Tokens that prompt work will hardly hold more than, soon."""
        variance = max(0.0, self._mean_square - self._mean**2)
        return self._mean + DEVIATIONS * math.sqrt(variance)
