"""Heartbeat intervals of idle links, by the number of links.

An exchange of Ping and Pong is about 200 bytes on the network, including
headers and acknowledgements. One per second on each of hundreds of links would
exceed a node's bandwidth budget for control traffic many times over, so nodes
with many links ping idle ones less often. Links that carry work keep the
normal interval.
"""

from __future__ import annotations

__all__ = ['FULL_RATE_LINKS', 'dialling_factor', 'listening_factor']

FULL_RATE_LINKS = 8
MAX_DIALLING_FACTOR = 20.0
# Exceeds MAX_DIALLING_FACTOR, so that the dialling end always pings first.
LISTENING_FACTOR = 25.0


def dialling_factor(links: int) -> float:
    """Returns the factor for a node that dials this number of links."""
    return min(MAX_DIALLING_FACTOR, max(1.0, links / FULL_RATE_LINKS))


def listening_factor(links: int) -> float:
    """Returns the factor for a node that accepts this number of links."""
    return 1.0 if links <= FULL_RATE_LINKS else LISTENING_FACTOR
