"""Backoff delays between attempts to connect to a peer."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ['delays']

INITIAL_S = 0.1
MAX_S = 2.0


def delays(
    initial_s: float = INITIAL_S,
    max_s: float = MAX_S,
    rand: Callable[[], float] = random.random,
) -> Iterator[float]:
    """Yields delays in seconds, without end.

    Each is drawn uniformly from 0 to a ceiling that doubles up to `max_s`, so
    that the routers of a fleet don't all reconnect to a sidecar at once.
    """
    ceiling = initial_s
    while True:
        yield ceiling * rand()
        ceiling = min(max_s, 2 * ceiling)
