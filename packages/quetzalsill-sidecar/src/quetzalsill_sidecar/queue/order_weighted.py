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
    line: collections.OrderedDict[str, policy.Demand]

    @property
    def head(self) -> policy.Demand:
        """The oldest demand."""
        return next(iter(self.line.values()))


class WeightedOrder:
    """Queue of flows, chosen by rank and then by virtual time."""

    def __init__(self) -> None:
        self._flows: dict[tuple[str, str], _Flow] = {}
        self._virtual = 0.0
        self._served: dict[str, float] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, demand: policy.Demand) -> None:
        """Takes a demand to the end of its flow."""
        name = (demand.account, demand.profile)
        flow = self._flows.get(name)
        if flow is None:
            flow = _Flow(demand.account, collections.OrderedDict())
            self._flows[name] = flow
        flow.line[demand.attempt] = demand
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
        self._virtual = min(
            self._start(f.account) for f in self._flows.values()
        )
        start = self._start(demand.account)
        self._served[demand.account] = start + demand.cost / demand.weight
        self.remove(demand)

    def remove(self, demand: policy.Demand) -> None:
        """Removes the demand if it waits."""
        name = (demand.account, demand.profile)
        flow = self._flows.get(name)
        if flow is None or flow.line.pop(demand.attempt, None) is None:
            return
        self._length -= 1
        if not flow.line:
            del self._flows[name]
        if not self._flows:
            # Without contention there is nothing to share out; this also
            # keeps the table from holding every account ever seen.
            self._served.clear()
            self._virtual = 0.0

    def _start(self, account: str) -> float:
        return max(self._virtual, self._served.get(account, 0.0))
