"""Highest ownership epoch seen of each durable request."""

from __future__ import annotations

import collections

__all__ = ['Fences']


class Fences:
    """Refuses the paused owner of a request that another has taken over."""

    def __init__(self, limit: int) -> None:
        """Remembers at most `limit` requests, the latest used."""
        self._limit = limit
        self._highest: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def admit(self, request: str, fence: int) -> bool:
        """Notes `fence`; False if a higher one was seen for `request`."""
        highest = max(fence, self._highest.pop(request, 0))
        if highest:
            self._highest[request] = highest
        while len(self._highest) > self._limit:
            self._highest.popitem(last=False)
        return fence >= highest
