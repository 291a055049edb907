"""Baseline order: first come, first served."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzalsill_sidecar.queue import policy

__all__ = ['FifoOrder']


class FifoOrder:
    """One line for all accounts and profiles."""

    def __init__(self) -> None:
        self._line: dict[str, policy.Demand] = {}

    def __len__(self) -> int:
        return len(self._line)

    def push(self, demand: policy.Demand) -> None:
        """Takes a demand to the end of the line."""
        self._line[demand.attempt] = demand

    def heads(self, now: float) -> Iterator[policy.Demand]:
        """Yields the oldest demand only."""
        del now
        if self._line:
            yield next(iter(self._line.values()))

    def take(self, demand: policy.Demand) -> None:
        """Removes the demand."""
        self.remove(demand)

    def remove(self, demand: policy.Demand) -> None:
        """Removes the demand if it waits."""
        self._line.pop(demand.attempt, None)
