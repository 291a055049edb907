"""A seeded schedule of fault injections."""

from __future__ import annotations

import dataclasses
import random

__all__ = ['FAULTS', 'Injection', 'generate']

# Faults with their duration in seconds; a killed process is restarted after
# that time.
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
PAIR_COUNT = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Injection:
    """One fault, or two at once.

    Attributes:
      at_s: When it is injected, in seconds from the start of the phase.
      faults: Names of the faults.
      draw: Number from 0 to 1 that selects a process of its kind.
    """

    at_s: float
    faults: tuple[str, ...]
    draw: float

    @property
    def name(self) -> str:
        """Name in the results."""
        return ' + '.join(self.faults)


def generate(seed: int, spacing_s: float) -> list[Injection]:
    """Returns every fault once, the last once more, then a few pairs.

    Args:
      seed: The same seed yields the same schedule.
      spacing_s: Time from one injection to the next, in seconds.
    """
    rng = random.Random(seed)
    singles = list(FAULTS)
    rng.shuffle(singles)
    injected = [(name,) for name in (*singles, singles[-1])]
    injected += [tuple(rng.sample(list(FAULTS), 2)) for _ in range(PAIR_COUNT)]
    return [
        Injection((number + 0.5) * spacing_s, faults, rng.random())
        for number, faults in enumerate(injected)
    ]
