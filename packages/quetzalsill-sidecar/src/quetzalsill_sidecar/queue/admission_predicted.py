"""Admission by predicted key-value memory.

Each attempt holds its prompt and what it made so far, grows by a token a
step, and gives all of it back at its end. With a guess of what each has still
to make, the memory at each coming end is known, and its peak must fit. That
is less than the sum of all final sizes, since the short ones are gone before
the long ones are large.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from quetzalsill_sidecar.queue import policy

    Remaining = Callable[[policy.Demand, int], int]

__all__ = ['admit', 'admit_declared', 'peak_tokens']


def admit(state: policy.EngineState, demand: policy.Demand) -> bool:
    """Starts a demand if the predicted peak of memory stays under capacity.

    Each attempt is planned at its profile's quantile of the length still to
    come. Demands that may not use the headroom leave it free.
    """

    def remaining(planned: policy.Demand, produced: int) -> int:
        expected = state.remaining(
            planned.model, planned.profile, produced, planned.quantile
        )
        return max(1, min(expected, planned.max_tokens - produced))

    return _admit(state, demand, remaining)


def admit_declared(state: policy.EngineState, demand: policy.Demand) -> bool:
    """Starts a demand if all answers may grow to their declared bound.

    Never overcommits, and wastes what bounds exceed lengths by. Where callers
    declare true lengths it is the best that admission by memory can do.
    """

    def remaining(planned: policy.Demand, produced: int) -> int:
        return max(1, planned.max_tokens - produced)

    return _admit(state, demand, remaining)


def peak_tokens(
    sizes: Iterable[tuple[int, int]], candidate: tuple[int, int]
) -> int:
    """Highest memory while a newcomer is on the engine.

    Later peaks come with or without the newcomer, so they don't speak against
    it: a short answer fits in beside long ones that will be large later.

    Args:
      sizes: For each running attempt the tokens held and those to come.
      candidate: The same for the attempt that may start.
    """
    peak = 0
    held = 0
    # From the last to end to the first: at an end, those that end later (or
    # then) hold what they have now and as many tokens as steps went by.
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
        # Alone on the engine: waiting would not make more memory free.
        return True
    others = state.running
    budget = state.capacity_tokens - state.foreign_tokens
    if demand.uses_headroom:
        # Patient work can outgrow its plan, and the engine then pushes it off
        # unseen; counted here it would hold prompt work back for as long as
        # it lasts. Prompt work goes by the memory of prompt work alone, and
        # the engine's preemption by priority is the last relief.
        others = [o for o in others if o.demand.uses_headroom]
    else:
        budget -= state.reserved_tokens
    sizes = [(o.held_tokens, remaining(o.demand, o.produced)) for o in others]
    candidate = (demand.prompt_tokens, remaining(demand, 0))
    return peak_tokens(sizes, candidate) <= budget
