"""Highest ownership epoch seen of each durable request."""

from __future__ import annotations

import collections

__all__ = ['Fences']


class Fences:
    """Rejects owners of a request that a newer owner has taken over.

    Such an owner may have been paused and not know of its successor.
    """

    def __init__(self, limit: int) -> None:
        """Remembers the `limit` most recently used requests."""
        self._limit = limit
        self._highest: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def admit(self, request: str, fence: int) -> bool:
        """Records `fence`; False if a higher one was seen for `request`."""
        highest = max(fence, self._highest.pop(request, 0))
        if highest:
            self._highest[request] = highest
        while len(self._highest) > self._limit:
            self._highest.popitem(last=False)
        return fence >= highest
