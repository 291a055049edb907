"""A generation that waits for an engine, and its rank among others."""

from __future__ import annotations

import dataclasses

__all__ = ['LAST_RANK', 'SIZE_BOUNDS', 'QueueEntry']

# Of two equally urgent generations the shorter comes first: it earns its worth
# with less memory and sooner makes room. Bounds between sizes, as multiples of
# the mean output on the route.
SIZE_BOUNDS = (0.7, 1.4)
SIZE_RANKS = len(SIZE_BOUNDS) + 1
# Rank of a request that is late: behind each one that is not.
LATE_RANK = 10 * SIZE_RANKS
LAST_RANK = 2 * LATE_RANK


@dataclasses.dataclass(slots=True, eq=False)
class QueueEntry:
    """A request that waits.

    Attributes:
      priority: Urgency of the request; 0 is the most urgent.
      size: Which of the sizes it has; 0 is the shortest.
      sequence: Grows with each request.
      late_at_s: Loop time from which it is late.
      tokens: Memory that it needs.
      arrived_s: Loop time at which it came.
      expected_s: How long it was expected to wait when that was last asked, in
        seconds.
    """

    priority: int
    size: int
    sequence: int
    late_at_s: float
    tokens: int
    arrived_s: float = 0.0
    expected_s: float = 0.0

    def rank(self, now: float) -> int:
        """Returns its rank among all that wait; the lowest comes first."""
        rank = self.priority * SIZE_RANKS + self.size
        return rank + (LATE_RANK if now >= self.late_at_s else 0)
