"""Delays between attempts to reach a peer."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ['delays']

FIRST_S = 0.1
MOST_S = 2.0


def delays(
    first_s: float = FIRST_S,
    most_s: float = MOST_S,
    rand: Callable[[], float] = random.random,
) -> Iterator[float]:
    """Yields delays in seconds, without end.

    Each is drawn evenly from below a ceiling that doubles up to `most_s`, so
    that the routers of a fleet don't come back to a sidecar all at once.
    """
    ceiling = first_s
    while True:
        yield ceiling * rand()
        ceiling = min(most_s, 2 * ceiling)
