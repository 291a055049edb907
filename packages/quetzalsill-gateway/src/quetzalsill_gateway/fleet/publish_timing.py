"""How often a gateway publishes its state, by the size of the fleet.

Every gateway sends its state to every other, so the datagrams that each one
receives grow linearly with the fleet and the total traffic quadratically: 300
gateways filled the links of those with little bandwidth. In fleets of up to
`SMALL_FLEET` gateways, every change is published immediately. In larger ones,
changes that come with each request are batched, so that a gateway receives
about as many datagrams as in a fleet of `SMALL_FLEET`; rare and urgent changes
are published without batching. Neither is sent to all of a large fleet in one
burst (`peers.outbox`).
"""

from __future__ import annotations

import math

__all__ = [
    'SMALL_FLEET',
    'candidate_count',
    'full_state_s',
    'keepalive_s',
    'min_interval_s',
    'peer_timeout_s',
    'spread_s',
]

# Up to this size, publishing immediately costs each gateway a few datagrams a
# second and peer, some 14 KB a second in all.
SMALL_FLEET = 70
# Added to the interval for each gateway above `SMALL_FLEET`; 300 gateways then
# send one gateway as much as 70 do.
INTERVAL_PER_GATEWAY_S = 0.01
# Bounds the interval if a faulty sender floods the fleet with made-up names.
MAX_INTERVAL_S = 2.5
# Share of the interval over which one state is sent, so that sending ends
# before the next state is due.
SPREAD_SHARE = 0.5
# A link with little bandwidth needs about this long for some 300 datagrams.
URGENT_SPREAD_S = 0.2
# A state is published this often without a change, so that peers can tell an
# idle gateway from a lost one.
KEEPALIVE_S = 1.0
# Until the next full state, a lost delta leaves capacity unused or allocated
# twice.
FULL_STATE_S = 2.0
# The same in large fleets, in publish intervals.
FULL_STATE_INTERVALS = 4
# A peer that is silent for this long, and for this many intervals, is dropped.
PEER_TIMEOUT_S = 3.5
PEER_TIMEOUT_INTERVALS = 3
# With fewer candidates, a choice would ignore too much of what is known.
MIN_CANDIDATES = 2


def min_interval_s(gateways: int) -> float:
    """Returns the minimum time between two states of a gateway; 0 for none."""
    return min(
        MAX_INTERVAL_S,
        INTERVAL_PER_GATEWAY_S * max(0, gateways - SMALL_FLEET),
    )


def spread_s(gateways: int, *, is_urgent: bool = False) -> float:
    """Returns the time over which one state is sent to all; 0 for at once."""
    over_s = SPREAD_SHARE * min_interval_s(gateways)
    return min(over_s, URGENT_SPREAD_S) if is_urgent else over_s


def keepalive_s(gateways: int) -> float:
    """Returns the time after which a state is published without a change."""
    return max(KEEPALIVE_S, min_interval_s(gateways))


def full_state_s(gateways: int) -> float:
    """Returns the time between two full states."""
    return max(FULL_STATE_S, FULL_STATE_INTERVALS * min_interval_s(gateways))


def peer_timeout_s(gateways: int) -> float:
    """Returns the time after which a silent peer is dropped."""
    return max(
        PEER_TIMEOUT_S, PEER_TIMEOUT_INTERVALS * min_interval_s(gateways)
    )


def candidate_count(gateways: int, engines: int, per_s: float) -> int:
    """Returns how many randomly drawn engines to choose the best of.

    All gateways choose independently from the same published states. While
    those are as old as the publish interval, every gateway picks the same best
    engine until it is known to be full. So each gateway draws a few engines and
    takes the best of them (power of two random choices); they are few enough
    that the choices made within one interval spread over all engines.

    Args:
      gateways: Number of gateways that choose.
      engines: Number of engines.
      per_s: Choices per second of one gateway.
    """
    meanwhile = gateways * per_s * min_interval_s(gateways) / 2
    return max(MIN_CANDIDATES, math.ceil(engines / (1.0 + meanwhile)))
