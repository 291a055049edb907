"""What a soak does to the processes and when, drawn from a seed."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Iterator

__all__ = ['Fault', 'Strike', 'copy_age_s', 'draw', 'drills']


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
    STORE_PART = 'store_part'
    DRILL = 'drill'
    RESET_BEGUN = 'reset_begun'


# Drawn by situations of their own, so that faults meet at the same time.
STAGED = (Fault.STORE_PART, Fault.DRILL, Fault.RESET_BEGUN)
# Pauses between strikes, in seconds: several overlap, and some come in series.
SHORTEST_S = 0.02
MEAN_S = 0.5
SERIES_SHARE = 0.25
LONGEST = 2.5
# Situations with a drill of the store, and what is done meanwhile.
DRILL_EVERY_S = 6.0
DRILL_LEAD_S = 1.5
SECOND_DRILL_S = 3.0
# Age of the copy with which the store comes back, in seconds.
COPY_AGES_S = (0.5, 1.0, 2.0)
# Operators and servers go on writing, while the store is away and behind it.
CHANGES = (Fault.CONFIGURE, Fault.LEAVE)
CHANGED_S = 4.0
# From the crash of a server to the end of its entry.
LAPSE_S = 0.5
# How the store is away; empty if it is back before a call notices.
AWAY = ('busy', 'silent', 'reset', '')
LONGEST_AWAY_S = 1.0
# Gateways that are restarted one after the other.
ROLLED = 3
ROLLED_EVERY_S = 0.7
RESETS_EVERY_S = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class Strike:
    """One fault.

    Attributes:
      at_s: When it begins, in seconds from the start of the load.
      fault: What is done.
      target: Picks whom it meets among those that there are then.
      for_s: How long it lasts, where it lasts.
      script: Misbehaviour of a server that misbehaves; how the store is away.
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
    faults = [fault for fault in Fault if fault not in STAGED]
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
    strikes += [*drills(seed, length_s), *_resets(seed, length_s)]
    return sorted(strikes, key=lambda one: one.at_s)


def drills(seed: int, length_s: float) -> list[Strike]:
    """Returns drills of the store and what is meant to overlap with them."""
    rng = random.Random(f'{seed} drills')
    strikes: list[Strike] = []
    at_s = rng.uniform(0.5, DRILL_LEAD_S)
    while at_s < length_s:
        situation = rng.choice((_alone, _cut_off, _twice, _rolling))
        struck = [*situation(rng, round(at_s, 3))]
        strikes += [*struck, *_changes(rng, struck[0])]
        at_s += rng.uniform(0.5, 1.5) * DRILL_EVERY_S
    return sorted(strikes, key=lambda one: one.at_s)


def _alone(rng: random.Random, at_s: float) -> Iterator[Strike]:
    away_s = round(rng.uniform(0.1, LONGEST_AWAY_S), 3)
    yield Strike(
        at_s, Fault.DRILL, rng.randrange(1000), away_s, rng.choice(AWAY)
    )


def _cut_off(rng: random.Random, at_s: float) -> Iterator[Strike]:
    """Yields a drill while a third of the gateways is cut off."""
    yield from _alone(rng, at_s)
    yield Strike(
        at_s,
        Fault.STORE_PART,
        rng.randrange(1000),
        round(rng.uniform(1.0, 2.0) * LONGEST, 3),
        '',
    )


def _twice(rng: random.Random, at_s: float) -> Iterator[Strike]:
    """Yields a drill, and another before all is written again."""
    [first] = _alone(rng, at_s)
    yield first
    second_s = round(at_s + rng.uniform(0.2, SECOND_DRILL_S), 3)
    yield dataclasses.replace(first, at_s=second_s, script=rng.choice(AWAY))


def _rolling(rng: random.Random, at_s: float) -> Iterator[Strike]:
    """Yields a drill while gateways are restarted one after the other."""
    yield from _alone(rng, at_s)
    first = rng.randrange(1000)
    for number in range(ROLLED):
        stop_s = round(at_s + number * ROLLED_EVERY_S, 3)
        yield Strike(stop_s, Fault.STOP, first + number, 0.0, '')


def copy_age_s(drill: Strike) -> float:
    """Returns the time from the copy of a drill until the store is away."""
    return random.Random(drill.target).choice(COPY_AGES_S)


def _changes(rng: random.Random, drill: Strike) -> Iterator[Strike]:
    """Yields what is written while the store is away, and on its return."""
    away_s = drill.at_s + copy_age_s(drill)
    for fault in CHANGES:
        for span_s in (drill.for_s, CHANGED_S):
            changed_s = round(away_s + rng.uniform(0.0, span_s), 3)
            yield Strike(changed_s, fault, rng.randrange(1000), 0.0, '')
    crash_s = max(0.0, away_s + rng.uniform(0.0, drill.for_s) - LAPSE_S)
    target = rng.randrange(1000)
    yield Strike(round(crash_s, 3), Fault.CRASH, target, LAPSE_S, '')


def _resets(seed: int, length_s: float) -> Iterator[Strike]:
    """Yields engines that end requests as they begin them."""
    rng = random.Random(f'{seed} resets')
    at_s = rng.uniform(0.0, RESETS_EVERY_S)
    while at_s < length_s:
        target = rng.randrange(1000)
        yield Strike(round(at_s, 3), Fault.RESET_BEGUN, target, 0.0, '')
        at_s += rng.expovariate(1 / RESETS_EVERY_S)
