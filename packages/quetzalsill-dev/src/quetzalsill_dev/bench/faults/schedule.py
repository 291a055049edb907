"""A seeded schedule of failures."""

from __future__ import annotations

import dataclasses
import random

__all__ = ['FAULTS', 'Strike', 'schedule']

# Each fault with the time that it lasts, in seconds; what is killed starts
# again after that time.
FAULTS = {
    'engine killed': 1.0,
    'engine paused': 2.0,
    'sidecar killed': 0.0,
    'sidecar paused': 2.0,
    'router killed': 1.0,
    'router paused': 2.0,
    'store down': 2.5,
    'store silent': 2.5,
    'store slow': 2.5,
    'store loses answers': 2.5,
    'link cut': 0.0,
    'link silent': 0.0,
}
PAIRS = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Strike:
    """One failure, or two at once.

    Attributes:
      at_s: When it strikes, in seconds from the start of the faults.
      faults: Names of the faults.
      draw: Number from 0 to 1 that picks which process of its kind.
    """

    at_s: float
    faults: tuple[str, ...]
    draw: float

    @property
    def name(self) -> str:
        """Name in the results."""
        return ' + '.join(self.faults)


def schedule(seed: int, spacing_s: float) -> list[Strike]:
    """Every fault once, the last once more, then a few pairs.

    Args:
      seed: Same seed, same schedule.
      spacing_s: Time from one strike to the next.
    """
    rng = random.Random(seed)
    singles = list(FAULTS)
    rng.shuffle(singles)
    struck = [(name,) for name in (*singles, singles[-1])]
    struck += [tuple(rng.sample(list(FAULTS), 2)) for _ in range(PAIRS)]
    return [
        Strike((number + 0.5) * spacing_s, faults, rng.random())
        for number, faults in enumerate(struck)
    ]
