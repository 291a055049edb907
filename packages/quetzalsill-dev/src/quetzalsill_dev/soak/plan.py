"""What a soak does to the processes and when, drawn from a seed."""

from __future__ import annotations

import dataclasses
import enum
import random

__all__ = ['Fault', 'Strike', 'draw']


class Fault(enum.Enum):
    """What is done, to a gateway, an upstream or the store."""

    KILL = 'kill'
    PAUSE = 'pause'
    STOP = 'stop'
    RELOAD = 'reload'
    CUT_CALLERS = 'cut_callers'
    SILENCE_CALLERS = 'silence_callers'
    DELAY_CALLERS = 'delay_callers'
    CUT_UPSTREAM = 'cut_upstream'
    SILENCE_UPSTREAM = 'silence_upstream'
    SILENCE_ANSWERS = 'silence_answers'
    DELAY_UPSTREAM = 'delay_upstream'
    REFUSE_UPSTREAM = 'refuse_upstream'
    MISBEHAVE = 'misbehave'
    LEAVE = 'leave'
    CRASH = 'crash'
    STORE_BUSY = 'store_busy'
    STORE_SILENT = 'store_silent'
    STORE_CUT = 'store_cut'
    STORE_DELAY = 'store_delay'
    STORE_FORGETS = 'store_forgets'
    CONFIGURE = 'configure'


# Pauses between strikes, in seconds: several overlap, and some come in series.
SHORTEST_S = 0.02
MEAN_S = 0.5
SERIES_SHARE = 0.25
LONGEST = 2.5


@dataclasses.dataclass(slots=True, frozen=True)
class Strike:
    """One fault.

    Attributes:
      at_s: When it begins, in seconds from the start of the load.
      fault: What is done.
      target: Picks whom it meets among those that there are then.
      for_s: How long it lasts, where it lasts.
      script: Misbehaviour of a server that misbehaves.
    """

    at_s: float
    fault: Fault
    target: int
    for_s: float
    script: str


SCRIPTS = (
    *('fail', 'shed', 'moved', 'false_503', 'reset', 'truncate', 'garbage'),
    *('extra', 'stale', 'unframed', 'no_receipt', 'hang', 'early'),
)


def draw(seed: int, length_s: float) -> list[Strike]:
    """Returns the strikes of a seed, in order of time."""
    rng = random.Random(seed)
    faults = list(Fault)
    strikes = []
    at_s = 0.5
    fault = rng.choice(faults)
    while at_s < length_s:
        strikes.append(
            Strike(
                round(at_s, 3),
                fault,
                rng.randrange(1000),
                round(rng.uniform(0.1, LONGEST), 3),
                rng.choice(SCRIPTS),
            )
        )
        at_s += max(SHORTEST_S, rng.expovariate(1 / MEAN_S))
        if rng.random() >= SERIES_SHARE:
            fault = rng.choice(faults)
    return strikes
