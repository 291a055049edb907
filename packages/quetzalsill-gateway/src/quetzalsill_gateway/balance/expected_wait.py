"""Expected time until an engine has room for a queued generation.

Room is memory, and a queue of prompts that is short enough for the generation's
own prompt to be prefilled in time. The waits for the two overlap, so the longer
one counts. Each is a lower bound, since a request that waits slightly longer
than expected is better off than one that was rejected needlessly.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Sequence

from quetzalsill_gateway.balance import forecast

__all__ = [
    'LATE_PREFILL_AHEAD_S',
    'NO_WAIT',
    'Ahead',
    'BoundBy',
    'EngineLoad',
    'ExpectedWait',
    'Fleet',
    'Wanted',
    'estimate',
    'longest',
    'prefill_ahead_bound_s',
    'with_pauses',
]

# Prefill time that may be queued ahead of a request that is late anyway.
LATE_PREFILL_AHEAD_S = 0.3
# Share of the time left to send a request that goes first which queued prefill
# may take.
FIRST_PREFILL_AHEAD_SHARE = 0.5


class BoundBy(enum.Enum):
    """What a generation waits for."""

    NOTHING = ''
    MEMORY = 'memory'
    PREFILL = 'prefill'
    RATE = 'rate'
    PAUSE = 'pause'


@dataclasses.dataclass(slots=True, frozen=True)
class ExpectedWait:
    """The result of an estimate.

    Attributes:
      seconds: Expected wait; infinite if there will be no room.
      bound_by: What determines it.
    """

    seconds: float = 0.0
    bound_by: BoundBy = BoundBy.NOTHING


NO_WAIT = ExpectedWait()


@dataclasses.dataclass(slots=True, frozen=True)
class EngineLoad:
    """Load of one available engine.

    Attributes:
      free_tokens: Memory that may still be reserved; negative if overcommitted.
      held_tokens: Memory reserved by generations of all gateways.
      prefill_tokens: Queued prompt tokens of all gateways.
      pause_s: Time for which the engine has asked for a pause.
    """

    free_tokens: float
    held_tokens: int
    prefill_tokens: int
    pause_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Wanted:
    """What the queued generation needs.

    Attributes:
      tokens: Memory, in tokens.
      prefill_s: Expected time to prefill its own prompt.
      in_time_s: Time left until it is late.
      first_in_s: Time left until it goes before all others of its priority.
      send_in_s: Time left until it must be sent.
    """

    tokens: int
    prefill_s: float = 0.0
    in_time_s: float = math.inf
    first_in_s: float = math.inf
    send_in_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Ahead:
    """What goes before the generation.

    Attributes:
      tokens: Memory that queued requests and displaced runs need.
      prompt_tokens: Prompt tokens of queued requests.
      tokens_per_s: Memory taken by requests that arrive later and go first, at
        all gateways. They count only while no engine can join: a burst passes
        if lost engines are replaced.
    """

    tokens: float = 0
    prompt_tokens: float = 0.0
    tokens_per_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Fleet:
    """Rates of a service's engines.

    Attributes:
      mean_held_s: Average time for which a token of memory is held.
      prefill_tokens_per_s: Prefill rate of one engine.
      lost_tokens_per_s: Memory lost with engines that leave.
      can_grow: Whether engines can join; if so, they replace lost ones.
    """

    mean_held_s: float
    prefill_tokens_per_s: float
    lost_tokens_per_s: float = 0.0
    can_grow: bool = True


def prefill_ahead_bound_s(wanted: Wanted) -> float:
    """Returns the prefill time that may be queued ahead of a generation.

    One that goes before all others must not hold them up until little prefill
    is queued, so it is sent while its caller still stays. Half of that time is
    left for engines that prefill at half the average rate.
    """
    bound_s = max(wanted.in_time_s - wanted.prefill_s, LATE_PREFILL_AHEAD_S)
    if wanted.first_in_s > 0:
        return bound_s
    return max(bound_s, FIRST_PREFILL_AHEAD_SHARE * wanted.send_in_s)


def longest(*waits: ExpectedWait) -> ExpectedWait:
    """Returns the longest of several waits that overlap."""
    return max(waits, key=lambda one: one.seconds)


def estimate(
    engines: Sequence[EngineLoad], wanted: Wanted, ahead: Ahead, fleet: Fleet
) -> ExpectedWait:
    """Returns the expected wait for room at some of the engines."""
    return longest(
        _memory_wait(engines, wanted, ahead, fleet),
        _prefill_wait(engines, wanted, ahead, fleet),
    )


def with_pauses(
    engines: Sequence[EngineLoad], wanted: Wanted, ahead: Ahead, fleet: Fleet
) -> ExpectedWait:
    """Returns the expected wait if some of the engines are pausing."""
    pauses_s = [one.pause_s for one in engines if one.pause_s]
    if not pauses_s:
        return estimate(engines, wanted, ahead, fleet)
    others = [one for one in engines if not one.pause_s]
    without = estimate(others or engines, wanted, ahead, fleet)
    after_pause = longest(
        estimate(engines, wanted, ahead, fleet),
        ExpectedWait(min(pauses_s), BoundBy.PAUSE),
    )
    return min(without, after_pause, key=lambda one: one.seconds)


def _memory_wait(
    engines: Sequence[EngineLoad], wanted: Wanted, ahead: Ahead, fleet: Fleet
) -> ExpectedWait:
    piece = max(1, wanted.tokens)
    # Only multiples of what the request needs are usable.
    usable = sum(max(0.0, one.free_tokens // piece * piece) for one in engines)
    missing = wanted.tokens + ahead.tokens - usable
    held = sum(one.held_tokens for one in engines)
    if missing <= 0 or not held:
        return NO_WAIT
    if fleet.can_grow:
        wait_s = missing * fleet.mean_held_s / held
    else:
        per_s = forecast.freed_tokens_per_s(
            held,
            fleet.mean_held_s,
            ahead.tokens_per_s,
            fleet.lost_tokens_per_s,
        )
        wait_s = missing / per_s if per_s else math.inf
    return ExpectedWait(wait_s, BoundBy.MEMORY)


def _prefill_wait(
    engines: Sequence[EngineLoad], wanted: Wanted, ahead: Ahead, fleet: Fleet
) -> ExpectedWait:
    """Returns the expected wait for a short queue of prompts at an engine.

    Where more is queued than may be ahead of the request, the wait goes on
    until it is late and little is queued: its time left decreases as fast as
    the queue does.
    """
    if not engines or fleet.prefill_tokens_per_s <= 0.0:
        return NO_WAIT
    free = sum(max(0.0, one.free_tokens) for one in engines)
    # The rest of the requests ahead waits for memory, not for prefill.
    entering = min(1.0, free / ahead.tokens) if ahead.tokens > 0 else 1.0
    queued = _level(
        sorted(one.prefill_tokens for one in engines),
        ahead.prompt_tokens * entering,
    )
    with_room = [
        one.prefill_tokens
        for one in engines
        if one.free_tokens >= wanted.tokens
    ]
    if with_room:
        # Memory of the others has to become free first, whatever they prefill.
        until_room_s = _soonest_memory_s(engines, wanted, fleet)
        limit = until_room_s * fleet.prefill_tokens_per_s
        queued = max(queued, min(*with_room, limit))
    ahead_s = queued / fleet.prefill_tokens_per_s
    if ahead_s <= prefill_ahead_bound_s(wanted):
        return NO_WAIT
    wait_s = ahead_s - LATE_PREFILL_AHEAD_S
    # From then on, both its queue and the time left decrease.
    at_first_s = ahead_s - wanted.first_in_s
    left_s = wanted.send_in_s - wanted.first_in_s
    if at_first_s <= FIRST_PREFILL_AHEAD_SHARE * left_s:
        wait_s = min(wait_s, max(0.0, wanted.first_in_s))
    return ExpectedWait(wait_s, BoundBy.PREFILL)


def _level(queued: Sequence[int], more: float) -> float:
    """Returns the shortest queue after `more` went to the shortest ones.

    Args:
      queued: Lengths of the queues, in ascending order.
      more: Amount that is added.
    """
    total = more
    for count, length in enumerate(queued, 1):
        total += length
        level = total / count
        if count == len(queued) or level <= queued[count]:
            return level
    return 0.0


def _soonest_memory_s(
    engines: Sequence[EngineLoad], wanted: Wanted, fleet: Fleet
) -> float:
    """Returns the time until an engine without enough memory has enough."""
    return min(
        (
            (wanted.tokens - one.free_tokens)
            * fleet.mean_held_s
            / one.held_tokens
            for one in engines
            if one.free_tokens < wanted.tokens and one.held_tokens
        ),
        default=math.inf,
    )
