"""Estimates which upstream still caches a prompt prefix."""

from __future__ import annotations

import collections
import time
from collections.abc import Callable

__all__ = ['Affinity']

HALF_LIFE_S = 60.0
MAX_PREFIXES = 20_000


class Affinity:
    """Tracks where prompt prefixes were sent, with exponential decay.

    Cache events arrive late and incompletely, so the router relies only on
    what it sent itself, with a weight that decays over time.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._sent_at: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )

    def record(self, prefix: str, upstream: str) -> None:
        """Records that `prefix` has just been sent to `upstream`."""
        if not prefix:
            return
        self._sent_at.setdefault(prefix, {})[upstream] = self._clock()
        self._sent_at.move_to_end(prefix)
        if len(self._sent_at) > MAX_PREFIXES:
            self._sent_at.popitem(last=False)

    def cache_likelihood(self, prefix: str, upstream: str) -> float:
        """Returns the estimated likelihood, from 0 to 1, of a cache hit."""
        sent_at = self._sent_at.get(prefix, {}).get(upstream)
        if sent_at is None:
            return 0.0
        return 0.5 ** ((self._clock() - sent_at) / HALF_LIFE_S)

    def upstreams_of(self, prefix: str) -> list[str]:
        """Returns the upstreams that `prefix` was sent to."""
        return list(self._sent_at.get(prefix, ()))
