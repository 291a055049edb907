"""Which upstream probably still caches a prompt prefix."""

from __future__ import annotations

import collections
import time
from collections.abc import Callable

__all__ = ['Affinity']

HALF_LIFE_S = 60.0
MAX_PREFIXES = 20_000


class Affinity:
    """Remembers where prefixes were sent; the memory decays.

    Cache events come late and with gaps, so the router trusts only what it
    sent itself, and trusts it less the longer ago that was.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._sent: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )

    def record(self, prefix: str, upstream: str) -> None:
        """Records that `prefix` was sent to `upstream` now."""
        if not prefix:
            return
        self._sent.setdefault(prefix, {})[upstream] = self._clock()
        self._sent.move_to_end(prefix)
        if len(self._sent) > MAX_PREFIXES:
            self._sent.popitem(last=False)

    def cache_likelihood(self, prefix: str, upstream: str) -> float:
        """Returns the belief, from 0 to 1, that the prefix is cached."""
        sent = self._sent.get(prefix, {}).get(upstream)
        if sent is None:
            return 0.0
        return 0.5 ** ((self._clock() - sent) / HALF_LIFE_S)

    def upstreams_of(self, prefix: str) -> list[str]:
        """Returns the upstreams that `prefix` was sent to."""
        return list(self._sent.get(prefix, ()))
