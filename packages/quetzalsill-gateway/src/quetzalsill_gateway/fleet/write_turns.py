"""Which gateway writes what all of them want to have written, and when.

All gateways learn of a change at about the same moment, and one write is
enough. They are ranked by rendezvous hashing; the first one writes at once, and
each further one in its turn unless it has learned by then that the write is
done. So a write needs no particular gateway to be alive, and a healthy fleet
makes it once.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from quetzalsill_gateway.fleet import quota

__all__ = ['ORDERED', 'WriteTurn', 'delay_s', 'rank']

# A write that succeeds, and the announcement of it, take a few round trips.
TURN_S = 0.15
# Gateways of a higher rank act at random times, as turns of a large fleet would
# take too long.
ORDERED = 4
# Over this time, a hundred of them make no more calls than the source allows.
SPREAD_PER_GATEWAY_S = 0.01
# A gateway that starts waits so long for the names of the others, as all of a
# system that starts would write at once.
UNLISTED_S = 0.5
# After a failed call.
RETRY_S = 0.5
# After another gateway has changed a row meanwhile.
CONFLICT_RETRY_S = 0.05


class WriteTurn:
    """When this gateway may write what is missing."""

    def __init__(
        self,
        key: str,
        node: str,
        writers: Callable[[], tuple[str, ...]],
        rng: random.Random | None = None,
    ) -> None:
        """Starts with nothing missing.

        Args:
          key: Key of what is written.
          node: Name of this gateway.
          writers: Returns the gateways that may write now, this included; empty
            while they are unknown.
          rng: Draws the times of gateways without a turn.
        """
        self._key = key
        self._node = node
        self._writers = writers
        self._rng = rng or random.Random()
        self._due_s: float | None = None

    @property
    def is_ordered(self) -> bool:
        """Whether this gateway has a turn, or may have one."""
        names = self._writers()
        return not names or rank(self._key, self._node, names) < ORDERED

    def left_s(self) -> float:
        """Returns the time until its turn, from the first call on."""
        now = asyncio.get_running_loop().time()
        if self._due_s is None:
            self._due_s = now + self._delay_s()
        return self._due_s - now

    def end(self) -> None:
        """Ends the turn: nothing is missing."""
        self._due_s = None

    def postpone(self, *, is_conflict: bool = False) -> None:
        """Begins another turn after a write that failed.

        Args:
          is_conflict: Whether another gateway has changed a row meanwhile.
        """
        now = asyncio.get_running_loop().time()
        if is_conflict:
            self._due_s = now + CONFLICT_RETRY_S * (1.0 + self._rng.random())
        else:
            retry_s = RETRY_S * (1.0 + self._rng.random())
            self._due_s = now + retry_s + self._delay_s()

    def _delay_s(self) -> float:
        names = self._writers()
        if not names:
            return UNLISTED_S
        own_rank = rank(self._key, self._node, names)
        return delay_s(own_rank, len(names), self._rng)


def rank(key: str, node: str, names: tuple[str, ...]) -> int:
    """Returns the position of a gateway in the order of writers.

    Args:
      key: Key of what is written.
      node: The gateway.
      names: All gateways that may write, with or without it.
    """
    return quota.rate_owners(key, names, len(names)).index(node)


def delay_s(own_rank: int, gateways: int, rng: random.Random) -> float:
    """Returns how long a gateway waits before it writes, in seconds.

    Args:
      own_rank: Its `rank`.
      gateways: Number of gateways that may write.
      rng: Draws the times of those without a turn.
    """
    if own_rank < ORDERED:
        return own_rank * TURN_S
    spread_s = SPREAD_PER_GATEWAY_S * gateways
    return ORDERED * TURN_S + rng.uniform(0.0, spread_s)
