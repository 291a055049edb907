"""Registration of a router in the platform, and the routers seen alive.

Clocks of different hosts are never compared. A reader considers another router
dead if it observed the router's row at the same version for longer than the
row's `ttl_s`.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING

from quetzalsill.platform import error as platform_error
from quetzalsill.platform import table as platform_table
from quetzalsill.telemetry import log as telemetry_log
from quetzalsill_router.durable import liveness as durable_liveness
from quetzalsill_router.durable import pace as durable_pace
from quetzalsill_router.durable import row as durable_row

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill_router.durable import setting

__all__ = ['Registration', 'Router', 'SegmentRange']

RETRY_S = 0.5

LOG = telemetry_log.get(__name__)


@dataclasses.dataclass(slots=True)
class Router:
    """A router as registered in its row.

    Attributes:
      node: Name of the router.
      incarnation: Increases with each start of the router.
      address: IP:PORT of its HTTP listener.
      availability_zone: Availability zone of its entry host.
      revision: Active configuration revision of the router.
    """

    node: str
    incarnation: int
    address: str
    availability_zone: str
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class SegmentRange:
    """Range of a log's segments: the oldest one retained and the newest."""

    first: int
    last: int


class Registration:
    """Registers the logs of this router and renews the current one.

    Attributes:
      router: This router; the caller keeps `revision` up to date.
      liveness: Tracks the rows of all routers.
    """

    def __init__(
        self,
        table: platform_table.Table,
        router: Router,
        cfg: setting.Durable,
    ) -> None:
        self.router = router
        self.liveness = durable_liveness.LivenessTracker()
        self._table = table
        self._cfg = cfg
        self._epoch = 0
        self._log = ''

    @property
    def interval_s(self) -> float:
        """Interval between two renewals, in s."""
        return durable_pace.heartbeat_s(self._cfg, self.count())

    def count(self) -> int:
        """Returns the number of live routers, at least 1."""
        return len(self.live_routers())

    def live_routers(self) -> list[Router]:
        """Returns the routers seen alive, including this one."""
        others = [
            Router(
                row.node,
                row.incarnation,
                row.address,
                row.availability_zone,
                row.revision,
            )
            for row in self.liveness.live_rows()
            if row.node != self.router.node
        ]
        return [self.router, *others]

    async def register(self) -> str:
        """Inserts the row of a new log; retries until it succeeds.

        If a newer process of the same node has replaced this one, another
        router takes over its log. This process then waits until the newer one
        is gone: a new log would be taken over again immediately.

        Returns:
          The name of the log.
        """
        while self.liveness.is_replaced(
            self.router.node, self.router.incarnation
        ):
            LOG.warning('node_replaced', node=self.router.node)
            await asyncio.sleep(self.interval_s)
        self._epoch += 1
        row = self._row(SegmentRange(1, 0))
        condition = platform_table.Condition(durable_row.TABLE, row.log, 0)
        write = platform_table.Write(
            durable_row.TABLE, row.log, dataclasses.asdict(row)
        )
        while True:
            try:
                await self._table.transact([condition], [write])
            except platform_error.ConditionFailedError:
                # No other process has this name, incarnation and epoch, so an
                # earlier attempt whose response was lost inserted the row.
                break
            except platform_error.PlatformError as exc:
                LOG.warning('registration_failed', why=exc.code)
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
            else:
                break
        self._log = row.log
        return row.log

    async def run(
        self, span: Callable[[], SegmentRange], on_closed: Callable[[], None]
    ) -> None:
        """Renews the row until cancelled.

        Args:
          span: Returns the segment range of the current log.
          on_closed: Called if another router has closed the log.
        """
        while True:
            await asyncio.sleep(self.interval_s * random.uniform(0.9, 1.0))
            try:
                alive = await self._renew(span())
            except platform_error.PlatformError as exc:
                LOG.warning('renewal_failed', log=self._log, why=exc.code)
            else:
                if not alive:
                    on_closed()

    async def release(self, span: SegmentRange) -> None:
        """Marks the log for immediate takeover, after a graceful stop."""
        if self._log:
            await durable_row.compare_and_set(
                self._table,
                self._log,
                lambda row: self._renewed_row(row, span, released=True),
            )

    async def _renew(self, span: SegmentRange) -> bool:
        if not self._log:
            return True
        row = await durable_row.compare_and_set(
            self._table, self._log, lambda row: self._renewed_row(row, span)
        )
        return row is not None and not row.keeper

    def _renewed_row(
        self,
        row: durable_row.LogRow,
        span: SegmentRange,
        released: bool = False,
    ) -> durable_row.LogRow | None:
        if row.keeper:
            return None
        new = self._row(span)
        return dataclasses.replace(new, epoch=row.epoch, released=released)

    def _row(self, span: SegmentRange) -> durable_row.LogRow:
        return durable_row.LogRow(
            node=self.router.node,
            incarnation=self.router.incarnation,
            epoch=self._epoch,
            address=self.router.address,
            availability_zone=self.router.availability_zone,
            revision=self.router.revision,
            ttl_s=self.interval_s * self._cfg.ttl_heartbeats,
            first=span.first,
            last=span.last,
        )
