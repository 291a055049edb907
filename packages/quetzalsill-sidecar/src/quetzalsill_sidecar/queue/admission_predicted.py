"""Admission by predicted KV cache use.

Each attempt holds its prompt and the tokens generated so far, grows by one
token a step, and releases everything when it ends. Given an estimate of the
remaining tokens of each attempt, the memory in use at each end is known, and
its peak must fit. The peak is lower than the sum of all final sizes, since
short attempts end before long ones reach their full size.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from quetzalsill_sidecar.queue import policy

    Remaining = Callable[[policy.Demand, int], int]

__all__ = ['admit', 'admit_declared', 'peak_tokens']


def admit(state: policy.EngineState, demand: policy.Demand) -> bool:
    """Starts a demand if the predicted peak of memory fits the capacity.

    Each attempt is planned at its profile's quantile of the remaining
    length. Demands that may not use the headroom leave it free.
    """

    def remaining(planned: policy.Demand, produced: int) -> int:
        expected = state.remaining(
            planned.model, planned.profile, produced, planned.quantile
        )
        return max(1, min(expected, planned.max_tokens - produced))

    return _admit(state, demand, remaining)


def admit_declared(state: policy.EngineState, demand: policy.Demand) -> bool:
    """Starts a demand if all responses could reach their declared limit.

    It never overcommits, and wastes the difference between limits and actual
    lengths. Where callers declare the actual lengths, no other admission by
    memory does better.
    """

    def remaining(planned: policy.Demand, produced: int) -> int:
        return max(1, planned.max_tokens - produced)

    return _admit(state, demand, remaining)


def peak_tokens(
    sizes: Iterable[tuple[int, int]], candidate: tuple[int, int]
) -> int:
    """Returns the peak of memory while a candidate is on the engine.

    Later peaks occur with or without the candidate, so they are left out: a
    short response fits in beside long ones that will be large later.

    Args:
      sizes: Tokens held and tokens remaining of each running attempt.
      candidate: The same for the attempt that may start.
    """
    peak = 0
    held = 0
    # In order from the last attempt to end to the first. When one ends, it
    # and those that end later each hold their current tokens plus one for
    # each step until then.
    ordered = sorted([*sizes, candidate], key=_remaining_of, reverse=True)
    for count, (held_now, remaining) in enumerate(ordered, start=1):
        held += held_now
        if remaining <= candidate[1]:
            peak = max(peak, held + count * remaining)
    return peak


def _remaining_of(size: tuple[int, int]) -> int:
    return size[1]


def _admit(
    state: policy.EngineState, demand: policy.Demand, remaining: Remaining
) -> bool:
    if len(state.running) >= state.max_running:
        return False
    if state.capacity_tokens <= 0:
        return True
    if not state.running:
        # On an idle engine, waiting would not free any memory.
        return True
    others = state.running
    budget = state.capacity_tokens - state.foreign_tokens
    if demand.uses_headroom:
        # Batch work can outgrow its plan, and the engine then preempts it
        # without the sidecar noticing; counted here, it would hold back
        # latency-sensitive work for as long as it runs. Only the memory of
        # other latency-sensitive work counts, and the engine's preemption by
        # priority is the last resort.
        others = [o for o in others if o.demand.uses_headroom]
    else:
        budget -= state.reserved_tokens
    sizes = [(o.held_tokens, remaining(o.demand, o.produced)) for o in others]
    candidate = (demand.prompt_tokens, remaining(demand, 0))
    return peak_tokens(sizes, candidate) <= budget
