"""Baseline order: first come, first served."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzalsill_sidecar.queue import policy

__all__ = ['FifoOrder']


class FifoOrder:
    """A single queue for all accounts and profiles."""

    def __init__(self) -> None:
        self._demands: dict[str, policy.Demand] = {}

    def __len__(self) -> int:
        return len(self._demands)

    def push(self, demand: policy.Demand) -> None:
        """Appends a demand to the queue."""
        self._demands[demand.attempt] = demand

    def heads(self, now: float) -> Iterator[policy.Demand]:
        """Yields the oldest demand only."""
        del now
        if self._demands:
            yield next(iter(self._demands.values()))

    def take(self, demand: policy.Demand) -> None:
        """Removes the demand."""
        self.remove(demand)

    def remove(self, demand: policy.Demand) -> None:
        """Removes the demand if it is queued."""
        self._demands.pop(demand.attempt, None)
