"""Moves the log of a dead router into that of a live one.

A log passes through these steps; whoever dies between two leaves a state
from which the next taker goes on:

1. seal: creates the next number of the log. Its former owner can make
   nothing durable any more; of takers that race, one has made the seal.
2. adopt: one segment of the taker's own log names the sealed log and its
   unsettled entries, with their next fence. It is there whole or not at all.
3. close: the row of the log names the taker as keeper, once the index holds
   all outcomes of the log.

A seal whose maker died before step 2 is void, and the next taker makes a
further one. That it is void shows once the maker's own log is closed while
the sealed one is still open: nothing can be added to a closed log, and all
logs that it had adopted were closed before it.
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
    """A log that was moved and is to be closed.

    Attributes:
      log: The sealed log.
      seal: Number of its seal.
      by: Log that has the entries now.
      replayed: What the sealed log left.
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
          What was moved; None if it is another router's to move.

        Raises:
          SupersededError: This router's log was itself taken over.
          PlatformError: To be repeated.
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
        """Names the keeper of an adopted log; repeats until it is done.

        The logs that the adopted one had itself adopted come first: a log
        that is closed has left none open.
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
        maker = await durable_row.read(self._table, seal.by)
        if maker is not None and not maker.row.keeper:
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
