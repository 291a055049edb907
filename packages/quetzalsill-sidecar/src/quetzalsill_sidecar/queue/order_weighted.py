"""Weighted fair queueing by client account, urgent profiles first.

Start-time fair queueing: each account has a virtual time, which each served
demand advances by cost over weight. Among accounts of the same rank, the one
with the lowest virtual time goes first. An account that was idle starts at the
current virtual time, so that it can't accumulate unused share. An account thus
waits behind its own backlog, not behind that of a larger one.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzalsill_sidecar.queue import policy

__all__ = ['WeightedOrder']


@dataclasses.dataclass(slots=True)
class _Flow:
    """Queued demands of one account and profile, oldest first."""

    account: str
    demands: collections.OrderedDict[str, policy.Demand]

    @property
    def head(self) -> policy.Demand:
        """The oldest demand."""
        return next(iter(self.demands.values()))


class WeightedOrder:
    """Queue of flows, ordered by rank and then by virtual time."""

    def __init__(self) -> None:
        self._flows: dict[tuple[str, str], _Flow] = {}
        self._virtual_time = 0.0
        self._account_times: dict[str, float] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, demand: policy.Demand) -> None:
        """Appends a demand to its flow."""
        key = (demand.account, demand.profile)
        flow = self._flows.get(key)
        if flow is None:
            flow = _Flow(demand.account, collections.OrderedDict())
            self._flows[key] = flow
        flow.demands[demand.attempt] = demand
        self._length += 1

    def heads(self, now: float) -> Iterator[policy.Demand]:
        """Yields the oldest demand of each flow, in order of service."""
        heads = [flow.head for flow in self._flows.values()]
        heads.sort(
            key=lambda d: (d.rank(now), self._start(d.account), d.arrived)
        )
        yield from heads

    def take(self, demand: policy.Demand) -> None:
        """Removes the demand and charges its cost to its account."""
        self._virtual_time = min(
            self._start(f.account) for f in self._flows.values()
        )
        start = self._start(demand.account)
        self._account_times[demand.account] = (
            start + demand.cost / demand.weight
        )
        self.remove(demand)

    def remove(self, demand: policy.Demand) -> None:
        """Removes the demand if it is queued."""
        key = (demand.account, demand.profile)
        flow = self._flows.get(key)
        if flow is None or flow.demands.pop(demand.attempt, None) is None:
            return
        self._length -= 1
        if not flow.demands:
            del self._flows[key]
        if not self._flows:
            # An empty queue has no contention to arbitrate; clearing also
            # keeps the table from growing with every account ever seen.
            self._account_times.clear()
            self._virtual_time = 0.0

    def _start(self, account: str) -> float:
        return max(self._virtual_time, self._account_times.get(account, 0.0))
