"""Memory to keep free for latency-sensitive work, from its recent use.

Latency-sensitive work is that of profiles with `uses_headroom`. A fixed share
of the memory is too small while there is much of it, and wasted while there is
little. Its next use is close to its average over the last seconds, and seldom
more than two standard deviations above.
"""

from __future__ import annotations

import math

__all__ = ['Headroom']

TIME_CONSTANT_S = 10.0
DEVIATIONS = 2.0


class Headroom:
    """Moving mean and deviation of the memory held by such work."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._mean_square = 0.0
        self._held = 0
        self._updated_at: float | None = None

    def note(self, held_tokens: int, now: float) -> None:
        """Records the tokens held from `now` (monotonic seconds) on."""
        if self._updated_at is not None:
            weight = 1.0 - math.exp((self._updated_at - now) / TIME_CONSTANT_S)
            self._mean += weight * (self._held - self._mean)
            self._mean_square += weight * (self._held**2 - self._mean_square)
        self._updated_at = now
        self._held = held_tokens

    def reserve(self) -> float:
        """Returns the tokens that the next use is unlikely to exceed."""
        variance = max(0.0, self._mean_square - self._mean**2)
        return self._mean + DEVIATIONS * math.sqrt(variance)
