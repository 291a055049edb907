"""Finds the logs of dead routers and takes them over."""

from __future__ import annotations

import asyncio
import hashlib
import random
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.platform import error as platform_error
from quetzalsill.telemetry import log as telemetry_log
from quetzalsill.telemetry import metric
from quetzalsill_router.durable import row as durable_row

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill.platform import table as platform_table
    from quetzalsill_router.durable import adoption as durable_adoption
    from quetzalsill_router.durable import recovery as durable_recovery
    from quetzalsill_router.durable import registration

__all__ = ['Takeover']

# Bounds what the scans of all rows cost the link of a node.
ROW_BYTES = 250
SCAN_BYTES_PER_S = 1500

LOG = telemetry_log.get(__name__)
TAKEOVERS = metric.counter(
    'quetzalsill_journal_takeovers_total', 'Logs of dead routers adopted here.'
)


class Takeover:
    """Watches the rows of all logs and adopts those of dead routers.

    Args:
      table: Client of the table.
      routers: Registration of this router, which judges the others.
      adopter: Seals, adopts and closes.
      recovery: Recovers adopted entries.
      own_log: Gives the log of this router; empty while none is open.
    """

    def __init__(
        self,
        table: platform_table.Table,
        routers: registration.Registration,
        adopter: durable_adoption.Adopter,
        recovery: durable_recovery.Recovery,
        own_log: Callable[[], str],
    ) -> None:
        self._table = table
        self._routers = routers
        self._adopter = adopter
        self._recovery = recovery
        self._own_log = own_log
        self._suspects: set[str] = set()
        self._orphaned_since: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._scan_at = 0.0

    def suspect(self, log: str) -> None:
        """Looks at a log soon: somebody waits for a request in it."""
        self._suspects.add(log)

    async def run(self) -> None:
        """Watches and takes over until cancelled."""
        try:
            while True:
                await self.check()
                pause_s = self._routers.interval_s * random.uniform(0.8, 1.0)
                await asyncio.sleep(pause_s)
        finally:
            await self._stop()

    async def check(self) -> None:
        """Reads rows that are due and starts the takeovers that are due."""
        requested_at = asyncio.get_running_loop().time()
        liveness = self._routers.liveness
        try:
            if requested_at >= self._scan_at:
                await self._scan(requested_at)
            else:
                await self._read_suspects(requested_at)
        except base.QuetzalsillError as exc:
            LOG.warning('watch_failed', why=exc)
            liveness.reset()
            return
        self._start_due(requested_at)

    async def _scan(self, requested_at: float) -> None:
        rows = await durable_row.scan(self._table)
        self._routers.liveness.retain({found.row.log for found in rows})
        self._routers.liveness.observe(rows, requested_at)
        self._scan_at = requested_at + len(rows) * ROW_BYTES / SCAN_BYTES_PER_S

    async def _read_suspects(self, requested_at: float) -> None:
        suspects, self._suspects = self._suspects, set()
        for log in suspects - {self._own_log()}:
            found = await durable_row.read(self._table, log)
            if found is not None:
                self._routers.liveness.observe([found], requested_at)
                if found.row.keeper:
                    self._suspects.add(found.row.keeper)

    def _start_due(self, now: float) -> None:
        own = self._own_log()
        orphans = {
            row.log
            for row in self._routers.liveness.orphans()
            if row.log != own
        }
        for log in self._orphaned_since.keys() - orphans:
            del self._orphaned_since[log]
        for log in orphans - self._tasks.keys():
            orphaned_since = self._orphaned_since.setdefault(log, now)
            if own and now - orphaned_since >= self._delay_s(log):
                task = asyncio.create_task(self._take_over(log, own))
                self._tasks[log] = task

    def _delay_s(self, log: str) -> float:
        """Gives how long others go first, so that not all come at once."""
        nodes = [router.node for router in self._routers.live_routers()]
        nodes.sort(key=lambda node: _weight(node, log))
        rank = nodes.index(self._routers.router.node)
        return rank * self._routers.interval_s

    async def _take_over(self, log: str, own: str) -> None:
        try:
            adoption = await self._adopter.adopt(log, own)
            if adoption is not None:
                TAKEOVERS.inc({})
                self._recovery.start(adoption.replayed.entries)
                # Stays in `_taking` until the row is closed, so that no scan
                # that still saw it open has it adopted twice.
                await self._adopter.close(adoption)
        except (
            platform_error.PlatformError,
            request_error.SupersededError,
        ) as exc:
            LOG.warning('takeover_retried', log=log, why=exc.code)
        except base.QuetzalsillError as exc:
            LOG.error('takeover_failed', log=log, why=exc)
        del self._tasks[log]

    async def _stop(self) -> None:
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._recovery.stop()


def _weight(node: str, log: str) -> bytes:
    return hashlib.sha256(f'{node}/{log}'.encode()).digest()
