"""A router's row in the platform, and what it sees of the others.

No clocks are compared between hosts. A reader judges another router by its
own observation: the row stood at one version over the row's `ttl_s`.
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
from quetzalsill_router.durable import row as durable_row
from quetzalsill_router.durable import throttle as durable_throttle

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill_router.durable import setting

__all__ = ['Registration', 'Router', 'SegmentRange']

RETRY_S = 0.5

LOG = telemetry_log.get(__name__)


@dataclasses.dataclass(slots=True)
class Router:
    """A router as its row shows it.

    Attributes:
      node: Name of the router.
      incarnation: Grows with each start of the router.
      address: IP:PORT of its HTTP listener.
      availability_zone: Availability zone of its entry host.
      revision: Configuration in force there.
    """

    node: str
    incarnation: int
    address: str
    availability_zone: str
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class SegmentRange:
    """The segments of a log: the oldest kept and the newest."""

    first: int
    last: int


class Registration:
    """Registers the logs of this router and keeps the newest one alive.

    Attributes:
      router: This router; its holder keeps `revision` up to date.
      liveness: What was seen of all routers.
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
        """Gives the interval between two renewals, in s."""
        return durable_throttle.heartbeat_s(self._cfg, self.count())

    def count(self) -> int:
        """Gives the number of live routers, at least 1."""
        return len(self.live_routers())

    def live_routers(self) -> list[Router]:
        """Gives the routers seen alive, this one included."""
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
        """Inserts the row of a new log; repeats until the platform took it.

        A process that is replaced by a newer one of the same node loses its
        log to a taker. It waits here while the newer one lives: with a new
        log it would be taken over again at once.

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
                # No other process has this name, incarnation and epoch, so
                # the row is ours from a try whose answer was lost.
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
          span: Gives the segments of the present log.
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
        """Lets others take the log at once, after a graceful stop."""
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
