"""What a soak does to the processes and when, drawn from a seed."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Iterator

__all__ = [
    'Fault',
    'Injection',
    'snapshot_age_s',
    'generate',
    'generate_drills',
]


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
    SILENCE_RESPONSES = 'silence_responses'
    DELAY_UPSTREAM = 'delay_upstream'
    REFUSE_UPSTREAM = 'refuse_upstream'
    MISBEHAVE = 'misbehave'
    LEAVE = 'leave'
    CRASH = 'crash'
    STORE_BUSY = 'store_busy'
    STORE_SILENT = 'store_silent'
    STORE_CUT = 'store_cut'
    STORE_DELAY = 'store_delay'
    STORE_COMPACT = 'store_compact'
    CONFIGURE = 'configure'
    STORE_PARTITION = 'store_partition'
    DRILL = 'drill'
    RESET_ON_START = 'reset_on_start'


# Drawn by situations of their own, so that faults meet at the same time.
SCENARIO_FAULTS = (Fault.STORE_PARTITION, Fault.DRILL, Fault.RESET_ON_START)
# Pauses between injections, in seconds: several overlap, and some come in
# series.
MIN_GAP_S = 0.02
MEAN_GAP_S = 0.5
REPEAT_PROBABILITY = 0.25
MAX_DURATION_S = 2.5
# Situations with a drill of the store, and what is done meanwhile.
MEAN_DRILL_INTERVAL_S = 6.0
MAX_FIRST_DRILL_S = 1.5
MAX_SECOND_DRILL_DELAY_S = 3.0
# Age of the copy with which the store comes back, in seconds.
SNAPSHOT_AGES_S = (0.5, 1.0, 2.0)
# Operators and servers go on writing, while the store is away and behind it.
CHANGE_FAULTS = (Fault.CONFIGURE, Fault.LEAVE)
CHANGE_WINDOW_S = 4.0
# From the crash of a server to the end of its entry.
CRASH_LAPSE_S = 0.5
# How the store is away; empty if it is back before a call notices.
OUTAGE_MODES = ('busy', 'silent', 'reset', '')
MAX_OUTAGE_S = 1.0
# Gateways that are restarted one after the other.
RESTARTED_GATEWAYS = 3
RESTART_INTERVAL_S = 0.7
MEAN_RESET_INTERVAL_S = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class Injection:
    """One fault.

    Attributes:
      at_s: When it begins, in seconds from the start of the load.
      fault: What is done.
      target: Picks whom it meets among those that there are then.
      duration_s: How long it lasts, where it lasts.
      variant: Misbehaviour of a server that misbehaves; how the store is away.
    """

    at_s: float
    fault: Fault
    target: int
    duration_s: float
    variant: str


MISBEHAVIOURS = (
    *('fail', 'shed', 'moved', 'false_503', 'reset', 'truncate', 'garbage'),
    *('extra', 'stale', 'unframed', 'no_receipt', 'hang', 'early'),
)


def generate(seed: int, length_s: float) -> list[Injection]:
    """Returns the injections of a seed, in order of time."""
    rng = random.Random(seed)
    faults = [fault for fault in Fault if fault not in SCENARIO_FAULTS]
    injections = []
    at_s = 0.5
    fault = rng.choice(faults)
    while at_s < length_s:
        injections.append(
            Injection(
                round(at_s, 3),
                fault,
                rng.randrange(1000),
                round(rng.uniform(0.1, MAX_DURATION_S), 3),
                rng.choice(MISBEHAVIOURS),
            )
        )
        at_s += max(MIN_GAP_S, rng.expovariate(1 / MEAN_GAP_S))
        if rng.random() >= REPEAT_PROBABILITY:
            fault = rng.choice(faults)
    injections += [
        *generate_drills(seed, length_s),
        *_engine_resets(seed, length_s),
    ]
    return sorted(injections, key=lambda injection: injection.at_s)


def generate_drills(seed: int, length_s: float) -> list[Injection]:
    """Returns drills of the store and what is meant to overlap with them."""
    rng = random.Random(f'{seed} drills')
    injections: list[Injection] = []
    at_s = rng.uniform(0.5, MAX_FIRST_DRILL_S)
    while at_s < length_s:
        scenario = rng.choice(
            (
                _single_drill,
                _drill_with_partition,
                _repeated_drill,
                _drill_with_rolling_restart,
            )
        )
        scenario_injections = [*scenario(rng, round(at_s, 3))]
        injections += [
            *scenario_injections,
            *_concurrent_changes(rng, scenario_injections[0]),
        ]
        at_s += rng.uniform(0.5, 1.5) * MEAN_DRILL_INTERVAL_S
    return sorted(injections, key=lambda injection: injection.at_s)


def _single_drill(rng: random.Random, at_s: float) -> Iterator[Injection]:
    outage_s = round(rng.uniform(0.1, MAX_OUTAGE_S), 3)
    yield Injection(
        at_s,
        Fault.DRILL,
        rng.randrange(1000),
        outage_s,
        rng.choice(OUTAGE_MODES),
    )


def _drill_with_partition(
    rng: random.Random, at_s: float
) -> Iterator[Injection]:
    """Yields a drill while a third of the gateways is cut off."""
    yield from _single_drill(rng, at_s)
    yield Injection(
        at_s,
        Fault.STORE_PARTITION,
        rng.randrange(1000),
        round(rng.uniform(1.0, 2.0) * MAX_DURATION_S, 3),
        '',
    )


def _repeated_drill(rng: random.Random, at_s: float) -> Iterator[Injection]:
    """Yields a drill, and another before all is written again."""
    [first] = _single_drill(rng, at_s)
    yield first
    second_s = round(at_s + rng.uniform(0.2, MAX_SECOND_DRILL_DELAY_S), 3)
    yield dataclasses.replace(
        first, at_s=second_s, variant=rng.choice(OUTAGE_MODES)
    )


def _drill_with_rolling_restart(
    rng: random.Random, at_s: float
) -> Iterator[Injection]:
    """Yields a drill while gateways are restarted one after the other."""
    yield from _single_drill(rng, at_s)
    first = rng.randrange(1000)
    for number in range(RESTARTED_GATEWAYS):
        stop_s = round(at_s + number * RESTART_INTERVAL_S, 3)
        yield Injection(stop_s, Fault.STOP, first + number, 0.0, '')


def snapshot_age_s(drill: Injection) -> float:
    """Returns the time from the copy of a drill until the store is away."""
    return random.Random(drill.target).choice(SNAPSHOT_AGES_S)


def _concurrent_changes(
    rng: random.Random, drill: Injection
) -> Iterator[Injection]:
    """Yields what is written while the store is away, and on its return."""
    outage_start_s = drill.at_s + snapshot_age_s(drill)
    for fault in CHANGE_FAULTS:
        for span_s in (drill.duration_s, CHANGE_WINDOW_S):
            changed_s = round(outage_start_s + rng.uniform(0.0, span_s), 3)
            yield Injection(changed_s, fault, rng.randrange(1000), 0.0, '')
    crash_s = max(
        0.0, outage_start_s + rng.uniform(0.0, drill.duration_s) - CRASH_LAPSE_S
    )
    target = rng.randrange(1000)
    yield Injection(round(crash_s, 3), Fault.CRASH, target, CRASH_LAPSE_S, '')


def _engine_resets(seed: int, length_s: float) -> Iterator[Injection]:
    """Yields engines that end requests as they begin them."""
    rng = random.Random(f'{seed} resets')
    at_s = rng.uniform(0.0, MEAN_RESET_INTERVAL_S)
    while at_s < length_s:
        target = rng.randrange(1000)
        yield Injection(round(at_s, 3), Fault.RESET_ON_START, target, 0.0, '')
        at_s += rng.expovariate(1 / MEAN_RESET_INTERVAL_S)
