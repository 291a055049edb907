"""A generation queued for an engine, and its rank in the queue."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

__all__ = ['LAST_RANK', 'SIZE_BOUNDS', 'QueueEntry']

# Bounds between size classes, as multiples of the route's mean output. Within a
# priority shorter generations go first: they need less memory for the same
# value, and release it sooner.
SIZE_BOUNDS = (0.7, 1.4)
SIZE_RANKS = len(SIZE_BOUNDS) + 1
# Added to the rank of a late request, which places it behind all others.
LATE_RANK = 10 * SIZE_RANKS
LAST_RANK = 2 * LATE_RANK


@dataclasses.dataclass(slots=True, eq=False)
class QueueEntry:
    """A queued request.

    Attributes:
      priority: Priority of the request; 0 is the most urgent.
      size: Index of its size class; 0 is the shortest.
      sequence: Increasing number, which orders entries of the same rank.
      late_at_s: Loop time from which it is late.
      tokens: Memory that it needs, in tokens.
      arrived_s: Loop time at which it arrived.
      expected_s: Latest estimate of its waiting time, in seconds.
      start_tag: Returns the key of its client account's share, by which entries
        of the same rank are ordered.
      waiting_at_peers: Returns the tokens queued at peers that go first for
        their accounts' shares, and of the others of equal rank the share that
        competes with it; the rest yields to it.
      account: Client account, as in `balance.shares`.
      passed_over: Whether it was held back for its account's share.
    """

    priority: int
    size: int
    sequence: int
    late_at_s: float
    tokens: int
    arrived_s: float = 0.0
    expected_s: float = 0.0
    start_tag: Callable[[], float] = lambda: 0.0
    waiting_at_peers: Callable[[], tuple[int, float]] = lambda: (0, 1.0)
    account: bytes = b''
    passed_over: bool = False

    def rank(self, now: float) -> int:
        """Returns its rank among all queued requests; the lowest goes first."""
        rank = self.priority * SIZE_RANKS + self.size
        return rank + (LATE_RANK if now >= self.late_at_s else 0)

    def share_rank(self, now: float) -> tuple[int, float]:
        """Returns its rank and the key of its account's share."""
        return self.rank(now), self.start_tag()

    def sort_key(self, now: float) -> tuple[int, float, int]:
        """Returns the key by which the queue is ordered."""
        return *self.share_rank(now), self.sequence
