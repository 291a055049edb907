"""Finds the segments that have outlived the retention, and erases them.

Time is measured by the clock of whoever keeps a log, from when it wrote or
adopted a segment; a takeover starts it anew. No clocks of two hosts are
compared, so a wrong one cannot make an answer expire early.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.telemetry import log as telemetry_log

if TYPE_CHECKING:
    from quetzalsill_router.durable import erase as durable_erase
    from quetzalsill_router.durable import liveness as durable_liveness
    from quetzalsill_router.durable import log_writer as durable_log_writer
    from quetzalsill_router.durable import row as durable_row

__all__ = ['Expiry']

CHECKS_PER_RETENTION = 100

LOG = telemetry_log.get(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class _Checkpoint:
    """At a time, a segment was the newest."""

    at: float
    number: int


class Expiry:
    """Erases what has expired of the own log and of the logs kept.

    Args:
      writer: Writes the own log.
      liveness: Knows the logs that this router keeps.
      eraser: Erases segments.
      retention_s: Least age of what is erased, in s.
    """

    def __init__(
        self,
        writer: durable_log_writer.LogWriter,
        liveness: durable_liveness.LivenessTracker,
        eraser: durable_erase.Eraser,
        retention_s: float,
    ) -> None:
        self._writer = writer
        self._liveness = liveness
        self._eraser = eraser
        self._retention_s = retention_s
        self._log = ''
        self._first = 1
        self._checkpoints: collections.deque[_Checkpoint] = collections.deque()
        self._kept_since: dict[str, float] = {}
        self._erased: dict[str, int] = {}

    @property
    def first(self) -> int:
        """Gives the oldest segment of the own log that is not erased."""
        return self._first if self._log == self._writer.log else 1

    async def run(self) -> None:
        """Looks for what has expired until cancelled."""
        while True:
            await asyncio.sleep(self._retention_s / CHECKS_PER_RETENTION)
            try:
                await self.erase_expired()
            except base.QuetzalsillError as exc:
                LOG.warning('expiry_failed', why=exc)

    async def erase_expired(self) -> None:
        """Erases what has expired now."""
        if not self._writer.log:
            return
        now = asyncio.get_running_loop().time()
        await self._expire_own(now)
        await self._expire_kept(now)

    async def _expire_own(self, now: float) -> None:
        log = self._writer.log
        if log != self._log:
            self._log, self._first = log, 1
            self._checkpoints.clear()
        self._checkpoints.append(_Checkpoint(now, self._writer.last))
        expired = 0
        while now - self._checkpoints[0].at >= self._retention_s:
            expired = self._checkpoints.popleft().number
        needed = self._writer.unsettled.oldest_segment(log, self._writer.floor)
        last = min(expired, self._writer.floor - 1, needed - 1)
        async for number in self._eraser.erase(log, self._first, last):
            self._first = number + 1

    async def _expire_kept(self, now: float) -> None:
        kept = {
            row.log: row for row in self._liveness.kept_by(self._writer.log)
        }
        for log in self._kept_since.keys() - kept.keys():
            del self._kept_since[log]
            self._erased.pop(log, None)
        for log, row in kept.items():
            since = self._kept_since.setdefault(log, now)
            needed = self._writer.unsettled.oldest_segment(log, 0)
            if now - since >= self._retention_s and not needed:
                await self._erase_kept(row)

    async def _erase_kept(self, row: durable_row.LogRow) -> None:
        """Erases a closed log; a repetition goes on where this one failed."""
        log = row.log
        first = self._erased.get(log, row.first - 1) + 1
        async for number in self._eraser.erase(log, first, row.last):
            self._erased[log] = number
        await self._eraser.delete_log_row(row)
        LOG.info('log_expired', log=log)
