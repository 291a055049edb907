"""A generation queued for an engine, and its rank in the queue."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from quetzalsill_gateway.balance import expected_wait

__all__ = [
    'LAST_RANK',
    'SIZE_BOUNDS',
    'SIZE_RANKS',
    'QueueEntry',
    'StarvingTurns',
]

# Bounds between size classes, as multiples of the route's mean output. Within a
# priority shorter generations go first: they need less memory for the same
# value, and release it sooner.
SIZE_BOUNDS = (0.7, 1.4)
SIZE_RANKS = len(SIZE_BOUNDS) + 1
# Added to the rank of a late request, which places it behind all others.
LATE_RANK = 10 * SIZE_RANKS
LAST_RANK = 2 * LATE_RANK
# Requests that are sent between two that go first because they are queued for
# long.
OTHERS_PER_STARVING = 3


@dataclasses.dataclass(slots=True, eq=False)
class StarvingTurns:
    """Limits how often requests that are queued for long go first.

    In a burst many are queued for long at the same time. If all of them went
    first, each would make another one late that can still be in time.

    Attributes:
      others_sent: Requests sent since one that went first.
    """

    others_sent: int = OTHERS_PER_STARVING

    def record_sent(self, *, is_first: bool) -> None:
        """Records that a request was sent."""
        self.others_sent = 0 if is_first else self.others_sent + 1

    @property
    def is_due(self) -> bool:
        """Whether a request that is queued for long goes first now."""
        return self.others_sent >= OTHERS_PER_STARVING


@dataclasses.dataclass(slots=True, eq=False)
class QueueEntry:
    """A queued request.

    Attributes:
      priority: Priority of the request; 0 is the most urgent.
      size: Index of its size class; 0 is the shortest.
      sequence: Increasing number, which orders entries of equal rank.
      late_at_s: Loop time from which it is late.
      tokens: Memory that it needs, in tokens.
      arrived_s: Loop time at which it arrived.
      expected: Expected wait on arrival, or that for which it was rejected.
      is_estimated: Whether `expected` is known.
      latest_s: Latest estimate of the time that it still waits.
      prompt_tokens: Tokens of its prompt.
      send_by_s: Loop time after which it is no longer worth sending.
      first_at_s: Loop time from which it goes before all others of its
        priority, in turn with them, so that it does not starve.
      turns: Limits how often such a request goes first.
      start_tag: Returns the key of its client account's share, by which entries
        of the same rank are ordered; None if shares are disabled.
      waiting_at_peers: Returns the tokens queued at peers that go first for
        their accounts' shares, and of the others of equal rank the share that
        competes with it; the rest yields to it. None if shares are disabled.
      account: Client account, as in `balance.shares`.
      pool: Identifies the engines that may continue the generation; empty if
        it may run at any. Entries of several pools don't wait for each other.
      passed_over: Whether it was held back for its account's share.
    """

    priority: int
    size: int
    sequence: int
    late_at_s: float
    tokens: int
    arrived_s: float = 0.0
    expected: expected_wait.ExpectedWait = expected_wait.NO_WAIT
    is_estimated: bool = False
    latest_s: float = 0.0
    prompt_tokens: int = 0
    send_by_s: float = math.inf
    first_at_s: float = math.inf
    turns: StarvingTurns = dataclasses.field(default_factory=StarvingTurns)
    start_tag: Callable[[], float] | None = None
    waiting_at_peers: Callable[[], tuple[int, float]] | None = None
    account: bytes = b''
    pool: str = ''
    passed_over: bool = False

    def rank(self, now: float) -> int:
        """Returns its rank among all queued requests; the lowest goes first.

        Ranks are announced to peers, which know no others than those of the
        size classes, timely and late.
        """
        if self.is_first(now):
            return self.priority * SIZE_RANKS
        rank = self.priority * SIZE_RANKS + self.size
        return rank + (LATE_RANK if now >= self.late_at_s else 0)

    def sort_key(self, now: float) -> tuple[int, bool, float, float, int]:
        """Returns the key by which queued requests are ordered."""
        return (
            self.rank(now),
            not self.is_first(now),
            0.0 if self.start_tag is None else self.start_tag(),
            self.late_at_s,
            self.sequence,
        )

    def is_first(self, now: float) -> bool:
        """Whether it goes before all others of its priority."""
        return now >= self.first_at_s and self.turns.is_due

    def yields_to(self, other: QueueEntry, now: float) -> bool:
        """Whether only the shares of accounts put another entry first."""
        if self.start_tag is None or other.start_tag is None:
            return False
        key, other_key = self.sort_key(now), other.sort_key(now)
        return (
            other_key[:2] == key[:2]
            and other_key[2] < key[2]
            and other_key[3:] > key[3:]
        )
