"""State shared by the components of a gateway."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from quetzalsill_gateway import shutdown as shutdown_lib
from quetzalsill_gateway.balance import admission, rate_queue
from quetzalsill_gateway.balance import shares as shares_lib
from quetzalsill_gateway.fleet import stream_origins
from quetzalsill_gateway.quarantine import detector, in_flight, quarantine
from quetzalsill_gateway.stream import link_queue, loop_delay

if TYPE_CHECKING:
    from quetzalsill_gateway import dialect as dialect_lib
    from quetzalsill_gateway import exchange, retry_budget, source
    from quetzalsill_gateway.balance import upstream_stats
    from quetzalsill_gateway.fleet import (
        backoff,
        engine_speed,
        members,
        quota,
        server_limits,
        upstream,
    )
    from quetzalsill_gateway.http import pool
    from quetzalsill_gateway.stream import live

__all__ = ['Core']


@dataclasses.dataclass(slots=True)
class Core:
    """State of one gateway.

    Attributes:
      zone: Availability zone of this process.
      dialect: Header names and parsers of the deployment.
      calls: Control calls to engines.
      holder: The active configuration.
      health: Whether the sources respond.
      upstreams: Membership.
      stats_table: Statistics of each upstream.
      conns: Connection pool.
      budget: Retry budget.
      live: Streams being relayed.
      members: Gateways that send to the same upstreams.
      quota: Limits on requests and connections to each upstream.
      server_limits: Limits that upstreams name.
      backoffs: Pauses that upstreams ask for.
      engine_speeds: Estimated speed of each engine.
      loop_delay: Detects pauses of the event loop.
      rate_queue: Calls that wait until a limit allows them.
      shares: Shares of client accounts.
      origins: Software versions that began streams.
      is_view_confirmed: Whether no gateway can know of an upstream that is
        unknown here.
      shutdown: Shutdown of this process.
      in_flight: Requests that upstreams are running.
      link_queue: Schedules moves of runs away from leaving engines.
      quarantine: Refuses requests that crash upstreams.
      detector: Detects crashes of upstreams.
      admission: Queues generations until an engine has room.
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
    server_limits: server_limits.ServerLimits
    backoffs: backoff.Backoffs
    engine_speeds: engine_speed.EngineSpeeds
    shares: shares_lib.Shares = dataclasses.field(
        default_factory=shares_lib.Shares
    )
    shutdown: shutdown_lib.Shutdown = dataclasses.field(
        default_factory=shutdown_lib.Shutdown
    )
    loop_delay: loop_delay.LoopDelay = dataclasses.field(
        default_factory=loop_delay.LoopDelay
    )
    rate_queue: rate_queue.RateQueue = dataclasses.field(
        default_factory=rate_queue.RateQueue
    )
    in_flight: in_flight.InFlight = dataclasses.field(
        default_factory=in_flight.InFlight
    )
    link_queue: link_queue.LinkQueue = dataclasses.field(
        default_factory=link_queue.LinkQueue
    )
    is_view_confirmed: Callable[[], bool] = lambda: True
    origins: stream_origins.StreamOrigins = dataclasses.field(init=False)
    quarantine: quarantine.Quarantine = dataclasses.field(init=False)
    detector: detector.Detector = dataclasses.field(init=False)
    admission: admission.Admission = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.origins = stream_origins.StreamOrigins(self.upstreams.versions)
        self.quarantine = quarantine.Quarantine(
            self.members, self.upstreams, self.in_flight
        )
        self.detector = detector.Detector(
            self.conns, self.upstreams, self.quarantine.record_crash
        )
        self.admission = admission.Admission(
            self.upstreams,
            self.stats_table,
            self.zone,
            self.quota,
            random.Random(),
            self.shares,
        )
        self.admission.set_refusal(self.rejects)

    def rejects(self, req: exchange.Exchange) -> bool:
        """Whether a request that waits to be sent is refused instead."""
        return self.quarantine.rejects(req) or self.shutdown.may_cut(req)
