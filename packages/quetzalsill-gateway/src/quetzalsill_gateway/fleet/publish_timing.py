"""How often a gateway tells the others of itself, by how many there are.

Each tells all others, so that what each takes in grows with the fleet, and what
all carry with its square: at 300 gateways it filled the links of the thin ones.
Up to `SMALL_FLEET` gateways everything is told as soon as it changes. In larger
fleets
what changes with each request is gathered for longer, so that a gateway takes
in about as many datagrams as at `SMALL_FLEET`; what is rare and urgent is told
without
being gathered. Neither goes out to all of a large fleet in one burst
(`peers.outbox`).
"""

from __future__ import annotations

import math

__all__ = [
    'SMALL_FLEET',
    'keepalive_s',
    'candidate_count',
    'min_interval_s',
    'peer_timeout_s',
    'spread_s',
    'full_state_s',
]

# Gateways up to which telling at once costs each a few datagrams a second and
# peer, some 14 KB a second in all.
SMALL_FLEET = 70
# Time added between two datagrams for each gateway above that: with it, what
# 300 send to one is what 70 do.
INTERVAL_PER_GATEWAY_S = 0.01
# Whoever floods the fleet with names cannot make it fall silent for longer.
MAX_INTERVAL_S = 2.5
# Share of it over which what is told goes out, so that it is out before the
# next.
SPREAD_SHARE = 0.5
# What others wait for takes as long as a thin link takes for some 300 of them.
URGENT_SPREAD_S = 0.2
# Something is told without a change too, so that silence means something.
KEEPALIVE_S = 1.0
# A lost change leaves room unused, or given out twice, for so long at most;
FULL_STATE_S = 2.0
# in larger fleets for so many gaps.
FULL_STATE_INTERVALS = 4
# A gateway is forgotten after so long, and after so many gaps.
PEER_TIMEOUT_S = 3.5
PEER_TIMEOUT_INTERVALS = 3
# A choice among fewer would leave out too much of what is known.
MIN_CANDIDATES = 2


def min_interval_s(gateways: int) -> float:
    """Returns the least time between two datagrams of a gateway."""
    return min(
        MAX_INTERVAL_S, INTERVAL_PER_GATEWAY_S * max(0, gateways - SMALL_FLEET)
    )


def spread_s(gateways: int, *, is_urgent: bool = False) -> float:
    """Returns over how long one datagram goes out to all; 0 for at once."""
    over_s = SPREAD_SHARE * min_interval_s(gateways)
    return min(over_s, URGENT_SPREAD_S) if is_urgent else over_s


def keepalive_s(gateways: int) -> float:
    """Returns after how long without a change something is told."""
    return max(KEEPALIVE_S, min_interval_s(gateways))


def full_state_s(gateways: int) -> float:
    """Returns how often all is told."""
    return max(FULL_STATE_S, FULL_STATE_INTERVALS * min_interval_s(gateways))


def peer_timeout_s(gateways: int) -> float:
    """Returns after how long a gateway that is not heard is forgotten."""
    return max(
        PEER_TIMEOUT_S, PEER_TIMEOUT_INTERVALS * min_interval_s(gateways)
    )


def candidate_count(gateways: int, engines: int, per_s: float) -> int:
    """Returns among how many engines one is chosen.

    All gateways choose from the same figures, and each by itself. Of figures
    that are as old as the gap, the best engine is everybody's choice until it
    is known to be full. So each draws a few, and takes the best of them: so few
    that what all choose meanwhile spreads over all engines (power of two random
    choices).

    Args:
      gateways: How many choose.
      engines: How many there are.
      per_s: Choices a second of one gateway.
    """
    meanwhile = gateways * per_s * min_interval_s(gateways) / 2
    return max(MIN_CANDIDATES, math.ceil(engines / (1.0 + meanwhile)))
