"""What the parts of a gateway share."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_gateway.balance import admission
from quetzalsill_gateway.stream import link_queue

if TYPE_CHECKING:
    from quetzalsill_gateway import dialect as dialect_lib
    from quetzalsill_gateway import retry_budget, source
    from quetzalsill_gateway.balance import upstream_stats
    from quetzalsill_gateway.fleet import members, quota, upstream
    from quetzalsill_gateway.http import pool
    from quetzalsill_gateway.stream import live

__all__ = ['Core']


@dataclasses.dataclass(slots=True)
class Core:
    """One gateway's state, each part with its own keeper.

    Attributes:
      zone: Availability zone of this process.
      dialect: Names of headers.
      calls: Orders to engines.
      holder: Configuration in force.
      health: Whether the sources answer.
      upstreams: Membership.
      stats_table: What was learned of each upstream.
      conns: Kept connections.
      budget: Retries that may be sent.
      live: Streams being relayed.
      members: Gateways that send to the same upstreams.
      quota: What may be sent to each upstream now.
      ends_at_s: Loop time at which the process ends, once it stops; None
        before.
      link_queue: Order of the moves away from engines that leave.
      admission: Holds generations back.
    """

    zone: str
    dialect: dialect_lib.Dialect
    calls: dialect_lib.EngineCalls
    holder: source.RoutingTableHolder
    health: source.Health
    upstreams: upstream.Upstreams
    stats_table: upstream_stats.StatsTable
    conns: pool.Pool
    budget: retry_budget.RetryBudget
    live: live.LiveStreams
    members: members.Members
    quota: quota.Quota
    ends_at_s: float | None = None
    link_queue: link_queue.LinkQueue = dataclasses.field(
        default_factory=link_queue.LinkQueue
    )
    admission: admission.Admission = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.admission = admission.Admission(
            self.upstreams, self.stats_table, self.zone, self.quota
        )
