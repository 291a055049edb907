"""Weighted fair order by client account, prompt profiles first.

Start-time fair queueing: each account has a virtual time that its served
work moves on by cost over weight, and of accounts in the same rank the one
behind goes first. An account that was idle starts at the present virtual
time, so that it can't save up its share. A large account thus waits for its
own backlog only.
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
    """Demands of one account in one profile, oldest first."""

    account: str
    demands: collections.OrderedDict[str, policy.Demand]

    @property
    def head(self) -> policy.Demand:
        """The oldest demand."""
        return next(iter(self.demands.values()))


class WeightedOrder:
    """Queue of flows, chosen by rank and then by virtual time."""

    def __init__(self) -> None:
        self._flows: dict[tuple[str, str], _Flow] = {}
        self._virtual_time = 0.0
        self._account_times: dict[str, float] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, demand: policy.Demand) -> None:
        """Takes a demand to the end of its flow."""
        key = (demand.account, demand.profile)
        flow = self._flows.get(key)
        if flow is None:
            flow = _Flow(demand.account, collections.OrderedDict())
            self._flows[key] = flow
        flow.demands[demand.attempt] = demand
        self._length += 1

    def heads(self, now: float) -> Iterator[policy.Demand]:
        """Yields the oldest of each flow, the first in turn first."""
        heads = [flow.head for flow in self._flows.values()]
        heads.sort(
            key=lambda d: (d.rank(now), self._start(d.account), d.arrived)
        )
        yield from heads

    def take(self, demand: policy.Demand) -> None:
        """Removes the demand and moves its account on by its cost."""
        self._virtual_time = min(
            self._start(f.account) for f in self._flows.values()
        )
        start = self._start(demand.account)
        self._account_times[demand.account] = (
            start + demand.cost / demand.weight
        )
        self.remove(demand)

    def remove(self, demand: policy.Demand) -> None:
        """Removes the demand if it waits."""
        key = (demand.account, demand.profile)
        flow = self._flows.get(key)
        if flow is None or flow.demands.pop(demand.attempt, None) is None:
            return
        self._length -= 1
        if not flow.demands:
            del self._flows[key]
        if not self._flows:
            # Without contention there is nothing to share out; this also
            # keeps the table from holding every account ever seen.
            self._account_times.clear()
            self._virtual_time = 0.0

    def _start(self, account: str) -> float:
        return max(self._virtual_time, self._account_times.get(account, 0.0))
