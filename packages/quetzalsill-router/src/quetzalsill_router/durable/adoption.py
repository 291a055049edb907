"""Moves the entries of a dead router's log into the log of a live one.

A takeover consists of these steps. If the router that takes over dies between
two of them, its successor can continue from the state it left:

1. seal: create the log's next segment number. The former owner can no longer
   make anything durable, and only one of several racing routers creates the
   seal.
2. adopt: write one segment to this router's own log that names the sealed log
   and its unsettled entries, with their next fences. The write is atomic.
3. close: name this router's log as the keeper in the row of the sealed log,
   once the index holds all outcomes of that log.

A seal is void if its creator died before step 2; the next successor then
creates another one. A seal is known to be void once the creator's own log is
closed while the sealed one is still open: nothing can be added to a closed
log, and all logs that it had adopted were closed before it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING

from quetzalsill.platform import error as platform_error
from quetzalsill.telemetry import log as telemetry_log
from quetzalsill_router.durable import index as durable_index
from quetzalsill_router.durable import log as durable_log
from quetzalsill_router.durable import row as durable_row
from quetzalsill_router.durable import segment as durable_segment

if TYPE_CHECKING:
    from quetzalsill.platform import objects as platform_objects
    from quetzalsill.platform import table as platform_table
    from quetzalsill_router.durable import journal as durable_journal

__all__ = ['Adopter', 'Adoption']

RETRY_S = 0.5

LOG = telemetry_log.get(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Adoption:
    """A log whose entries were moved and which is still to be closed.

    Attributes:
      log: The sealed log.
      seal: Segment number of its seal.
      by: Log that now has the entries.
      replayed: Replayed state of the sealed log.
    """

    log: str
    seal: int
    by: str
    replayed: durable_log.ReplayedLog


class Adopter:
    """Seals, adopts and closes logs for one router."""

    def __init__(
        self,
        table: platform_table.Table,
        objects: platform_objects.Objects,
        journal: durable_journal.Journal,
        index: durable_index.Index,
    ) -> None:
        self._table = table
        self._objects = objects
        self._journal = journal
        self._index = index

    async def adopt(self, log: str, by: str) -> Adoption | None:
        """Seals a log and moves its entries to this router's log.

        Args:
          log: The log of a dead router.
          by: Log of this router.

        Returns:
          What was moved; None if another router takes over the log.

        Raises:
          SupersededError: This router's log was itself taken over.
          PlatformError: The call may be retried.
          LogDamagedError, MalformedSegmentError: The log cannot be read.
        """
        found = await durable_row.read(self._table, log)
        if found is None or found.row.keeper:
            return None
        seal = await self._seal(found.row, by)
        if seal is None:
            return None
        replayed = await durable_log.replay(self._objects, log, seal.number)
        for entry in replayed.entries:
            entry.fence += 1
        adopted = durable_segment.Adopted(log, seal.number)
        await self._journal.adopt(by, adopted, replayed.entries)
        LOG.info('log_adopted', log=log, by=by, entries=len(replayed.entries))
        return Adoption(log, seal.number, by, replayed)

    async def close(self, adoption: Adoption) -> None:
        """Closes an adopted log by naming its keeper; retries until done.

        The logs that it had itself adopted are closed first, so that a closed
        log never leaves an adopted one open.
        """
        await self._index.write(
            [
                durable_index.Pointer(request, adoption.log, number)
                for request, number in adoption.replayed.settled
            ]
        )
        for adopted in adoption.replayed.adopted:
            await self._close_row(adopted.log, adoption.by, adopted.seal)
        await self._close_row(adoption.log, adoption.by, adoption.seal)
        self._journal.unpin_adopted(adoption.log)

    async def _seal(
        self, row: durable_row.LogRow, by: str
    ) -> durable_log.Seal | None:
        last = await durable_log.last_number(self._objects, row.log, row.last)
        after = max(last - 1, 0)
        seal = await durable_log.seal(self._objects, row.log, after, by)
        while seal.by != by:
            if not await self._is_void(row.log, seal):
                return None
            seal = await durable_log.seal(
                self._objects, row.log, seal.number, by
            )
        return seal

    async def _is_void(self, log: str, seal: durable_log.Seal) -> bool:
        creator = await durable_row.read(self._table, seal.by)
        if creator is not None and not creator.row.keeper:
            return False
        sealed = await durable_row.read(self._table, log)
        return sealed is not None and not sealed.row.keeper

    async def _close_row(self, log: str, keeper: str, seal: int) -> None:
        def closed(row: durable_row.LogRow) -> durable_row.LogRow | None:
            if row.keeper:
                return None
            return dataclasses.replace(row, keeper=keeper, last=seal)

        while True:
            try:
                await durable_row.compare_and_set(self._table, log, closed)
            except platform_error.PlatformError as exc:
                LOG.warning('close_failed', log=log, why=exc.code)
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
            else:
                return
