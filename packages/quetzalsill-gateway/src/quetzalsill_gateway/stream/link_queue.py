"""Defines the order in which runs are moved off leaving engines.

All copies share the outgoing link of the leaving engine, regardless of which
gateway requests them. A run is copied while it continues, then it is stopped
and its last tokens are copied. If all moves were requested at once, the final
copies of the first runs would queue behind the first copies of the last runs:
callers would see pauses, and if the engine shut down before the link had
drained, even runs that were copied in time would be lost.

Therefore one run at a time is moved to completion. Each gateway publishes its
pending moves to the others, and all of them derive the same order.
"""

from __future__ import annotations

import dataclasses

__all__ = ['LinkQueue', 'PendingMoves', 'Position']

# Pending moves of a gateway: tokens in the KV cache, by upstream key and by
# request id.
PendingMoves = dict[str, dict[str, int]]

# Published in place of the token count for a run that is being copied.
IN_PROGRESS = 0


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Position:
    """Sort key of a run.

    The smallest run is moved first, because this saves the most runs if the
    time does not suffice for all.

    Attributes:
      tokens: Tokens in its KV cache; `IN_PROGRESS` if it is being copied.
      request: Its request id, which breaks ties.
    """

    tokens: int
    request: str


class LinkQueue:
    """Pending moves of this gateway and of its peers."""

    def __init__(self) -> None:
        self._own: PendingMoves = {}
        self._others: dict[str, PendingMoves] = {}
        self._heads: dict[str, tuple[Position, float]] = {}
        self._skipped: dict[str, set[str]] = {}

    def add(self, key: str, request: str, tokens: int) -> None:
        """Adds a run of this gateway."""
        self._own.setdefault(key, {})[request] = tokens

    def start(self, key: str, request: str) -> None:
        """Marks a run of this gateway as being copied.

        It then stays ahead of smaller runs that are added later.
        """
        self._own.setdefault(key, {})[request] = IN_PROGRESS

    def remove(self, key: str, request: str) -> None:
        """Removes a run of this gateway that was moved or given up."""
        own = self._own.get(key, {})
        own.pop(request, None)
        if not own:
            self._own.pop(key, None)

    def own_moves(self) -> PendingMoves:
        """Returns the pending moves of this gateway, to be published."""
        return {upstream: dict(runs) for upstream, runs in self._own.items()}

    def receive(self, node: str, moves: PendingMoves) -> None:
        """Replaces the pending moves of another gateway."""
        if moves:
            self._others[node] = moves
        else:
            self._others.pop(node, None)

    def forget(self, key: str) -> None:
        """Drops all state about an engine that has shut down."""
        self._own.pop(key, None)
        self._heads.pop(key, None)
        self._skipped.pop(key, None)

    def is_next(
        self, key: str, request: str, now: float, timeout_s: float
    ) -> bool:
        """Whether a run may use the link of its engine now.

        A gateway may fail or be partitioned while its run is at the head of the
        queue, and would block the others until they detect the failure. Its run
        is skipped once it has been at the head for longer than a move takes.

        Args:
          key: Key of the leaving engine.
          request: Request id of a run of this gateway.
          now: Loop time, in seconds.
          timeout_s: Longest duration of a move, in seconds.
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
