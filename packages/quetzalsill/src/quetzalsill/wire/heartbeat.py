"""How far heartbeats of idle links are apart, by the number of links.

An exchange of Ping and Pong is about 200 bytes on the network, headers and
acknowledgements included. One a second on each of hundreds of links would be
many times what a node may spend on control, so idle links of a node with many
are asked more rarely. A link that carries work is not stretched.
"""

from __future__ import annotations

__all__ = ['FULL_RATE_LINKS', 'dialling_factor', 'listening_factor']

FULL_RATE_LINKS = 8
MAX_DIALLING_FACTOR = 20.0
# Longer than any dialling end waits, which so is always the one that asks.
LISTENING_FACTOR = 25.0


def dialling_factor(links: int) -> float:
    """Factor for a node that dials so many links."""
    return min(MAX_DIALLING_FACTOR, max(1.0, links / FULL_RATE_LINKS))


def listening_factor(links: int) -> float:
    """Factor for a node that is dialled on so many links."""
    return 1.0 if links <= FULL_RATE_LINKS else LISTENING_FACTOR
