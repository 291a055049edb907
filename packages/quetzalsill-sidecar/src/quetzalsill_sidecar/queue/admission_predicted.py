"""Admission by predicted key-value memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_sidecar.queue import policy

__all__ = ['admit', 'planned_tokens']


def admit(view: policy.View, demand: policy.Demand) -> bool:
    """Starts a demand if the memory planned for all stays under capacity.

    Each attempt is planned at its profile's quantile of the length still to
    come. Demands that may not use the headroom leave it free for prompt work.
    """
    if len(view.running) >= view.max_running:
        return False
    if view.capacity_tokens <= 0:
        return True
    if not view.running:
        # Alone on the engine: waiting would not make more memory free.
        return True
    kept = 0.0 if demand.uses_headroom else view.headroom
    budget = view.capacity_tokens * (1.0 - kept) - view.foreign_tokens
    planned = sum(
        planned_tokens(view, o.demand, o.produced) for o in view.running
    )
    return planned + planned_tokens(view, demand, 0) <= budget


def planned_tokens(
    view: policy.View, demand: policy.Demand, produced: int
) -> int:
    """Memory that an attempt will hold at its end, by its quantile."""
    remaining = view.remaining(
        demand.model, demand.profile, produced, demand.quantile
    )
    answer = min(demand.max_tokens, produced + remaining)
    return demand.prompt_tokens + max(answer, produced)
