"""Which gateway writes what all of them want to have written, and when.

All gateways learn of a change at about the same moment, and one write is
enough. They are ranked by rendezvous hashing; the first one writes at once, and
each further one in its turn unless it has learned by then that the write is
done. So a write needs no particular gateway to be alive, and a healthy fleet
makes it once.
"""

from __future__ import annotations

import random

from quetzalsill_gateway.fleet import quota

__all__ = ['delay_s', 'rank']

# A write that succeeds, and the announcement of it, take a few round trips.
TURN_S = 0.15
# Gateways of a higher rank act at random times, as turns of a large fleet would
# take too long.
ORDERED = 4
# Over this time, a hundred of them make no more calls than the source allows.
SPREAD_PER_GATEWAY_S = 0.01


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
