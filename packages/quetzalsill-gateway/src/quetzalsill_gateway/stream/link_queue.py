"""The order in which the runs of leaving engines are moved.

All copies go through the link of the engine that leaves, one after another,
whichever gateway orders them. A run is copied while it goes on, then stopped
and its last tokens copied. Ordered all at once, the last copies of the first
runs wait behind the first copies of the last ones: callers see pauses, and
when the engine goes before the link is through, even runs that were copied in
time are lost.

So one run at a time is moved to its end. Each gateway tells the others which
of its runs are still to be moved, and all take them in the same order.
"""

from __future__ import annotations

import dataclasses

__all__ = ['LinkQueue', 'PendingMoves', 'Position']

# Runs that a gateway has still to move, with their tokens in memory: by
# upstream key and request id.
PendingMoves = dict[str, dict[str, int]]

# Told in place of its tokens for a run that is on the link.
IN_PROGRESS = 0


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Position:
    """A run's place in the order.

    The smallest comes first, since most are saved in that order where the time
    does not suffice for all.

    Attributes:
      tokens: Its tokens in memory; `IN_PROGRESS` if it is on the link.
      request: Its request id, which decides between equals.
    """

    tokens: int
    request: str


class LinkQueue:
    """Runs that are still to be moved, of this gateway and of the others."""

    def __init__(self) -> None:
        self._own: PendingMoves = {}
        self._others: dict[str, PendingMoves] = {}
        self._heads: dict[str, tuple[Position, float]] = {}
        self._skipped: dict[str, set[str]] = {}

    def add(self, key: str, request: str, tokens: int) -> None:
        """Enters a run of this gateway."""
        self._own.setdefault(key, {})[request] = tokens

    def start(self, key: str, request: str) -> None:
        """Notes that a run of this gateway is on the link now.

        It stays ahead of smaller ones that are entered meanwhile.
        """
        self._own.setdefault(key, {})[request] = IN_PROGRESS

    def remove(self, key: str, request: str) -> None:
        """Takes a run of this gateway out: it was moved, or given up."""
        own = self._own.get(key, {})
        own.pop(request, None)
        if not own:
            self._own.pop(key, None)

    def own_moves(self) -> PendingMoves:
        """Returns what the other gateways are told."""
        return {upstream: dict(runs) for upstream, runs in self._own.items()}

    def receive(self, node: str, moves: PendingMoves) -> None:
        """Takes all that another gateway has to move."""
        if moves:
            self._others[node] = moves
        else:
            self._others.pop(node, None)

    def forget(self, key: str) -> None:
        """Drops what was noted of an engine that is gone."""
        self._own.pop(key, None)
        self._heads.pop(key, None)
        self._skipped.pop(key, None)

    def is_next(
        self, key: str, request: str, now: float, timeout_s: float
    ) -> bool:
        """Whether it is a run's turn at its engine's link.

        A gateway may die or be cut off while its run is the first, and would
        hold up the others until it is taken for silent. Its run is passed over
        once it has been the first for longer than a move takes.

        Args:
          key: The engine that leaves.
          request: A run of this gateway.
          now: Loop time, in seconds.
          timeout_s: Longest time that a move takes.
        """
        skipped = self._skipped.setdefault(key, set())
        positions = [
            position
            for position in self._positions(key)
            if position.request not in skipped
        ]
        if not positions:
            return True
        head = min(positions)
        if head.request == request:
            return True
        previous, since_s = self._heads.get(key, (None, now))
        if previous != head:
            self._heads[key] = (head, now)
        elif now - since_s > timeout_s:
            skipped.add(head.request)
        return False

    def _positions(self, key: str) -> list[Position]:
        all_moves = [self._own, *self._others.values()]
        return [
            Position(tokens, request)
            for moves in all_moves
            for request, tokens in moves.get(key, {}).items()
        ]
