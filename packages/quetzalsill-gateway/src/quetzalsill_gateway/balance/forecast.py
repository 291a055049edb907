"""How fast memory becomes free for a request that waits for it.

What generations hold is given back as they end. A request of some rank gets
what is left of that: what comes later and goes first takes its part, and what
engines that leave would have given back never comes. Where nothing is left, a
request that is kept waiting is refused in the end all the same, with nothing
but time lost; so it is told at once.
"""

from __future__ import annotations

import collections
import dataclasses

__all__ = ['Demand', 'freed_tokens_per_s']

# Requests come in waves of some ten seconds.
WINDOW_S = 10.0
# Arrivals kept: several times what one gateway takes in the window.
MAX_ARRIVALS = 4096


@dataclasses.dataclass(slots=True, frozen=True)
class _Arrival:
    at_s: float
    priority: int
    size: int
    tokens: int


class Demand:
    """Generations that have come to this gateway of late, for one service."""

    def __init__(self) -> None:
        self._arrivals: collections.deque[_Arrival] = collections.deque(
            maxlen=MAX_ARRIVALS
        )

    def record_arrival(
        self, now: float, priority: int, size: int, tokens: int
    ) -> None:
        """Takes one that has come."""
        self._arrivals.append(_Arrival(now, priority, size, tokens))

    def arrivals_per_s(self, now: float) -> float:
        """Returns how many come in a second."""
        self._drop_old(now)
        return len(self._arrivals) / WINDOW_S

    def tokens_ahead_per_s(self, now: float, priority: int, size: int) -> float:
        """Returns the tokens a second that go ahead of a request.

        Only of its own urgency, and shorter: what is more urgent is over soon,
        and takes again what its like has just given back.
        """
        self._drop_old(now)
        ahead = sum(
            one.tokens
            for one in self._arrivals
            if one.priority == priority and one.size < size
        )
        return ahead / WINDOW_S

    def _drop_old(self, now: float) -> None:
        while self._arrivals and now - self._arrivals[0].at_s > WINDOW_S:
            self._arrivals.popleft()


def freed_tokens_per_s(
    held_tokens: int,
    mean_held_s: float,
    ahead_per_s: float,
    leaving_tokens_per_s: float,
) -> float:
    """Returns the tokens a second that become free for a request.

    Args:
      held_tokens: What all generations hold.
      mean_held_s: How long a token is held, in the mean.
      ahead_per_s: Tokens a second that are taken ahead of it.
      leaving_tokens_per_s: Memory that goes with its engines, and is not
        replaced.
    """
    freed = held_tokens / mean_held_s
    return max(0.0, freed - ahead_per_s - leaving_tokens_per_s)
