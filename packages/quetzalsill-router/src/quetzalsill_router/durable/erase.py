"""Erases expired segments with all that leads to them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill.platform import table as platform_table
from quetzalsill_router.durable import claim as durable_claim
from quetzalsill_router.durable import claim_writer as durable_claim_writer
from quetzalsill_router.durable import index as durable_index
from quetzalsill_router.durable import log as durable_log
from quetzalsill_router.durable import row as durable_row

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable, Iterator

    from quetzalsill.platform import objects as platform_objects
    from quetzalsill_router.durable import entry as durable_entry
    from quetzalsill_router.durable import throttle as durable_throttle

__all__ = ['Eraser']

MAX_ROWS_PER_TRANSACTION = 500


@dataclasses.dataclass(slots=True, frozen=True)
class _ClaimedKey:
    """The row of an idempotency key and the request that claimed it."""

    key: str
    request: str

    @classmethod
    def of(cls, entry: durable_entry.Entry) -> _ClaimedKey:
        key = durable_claim.key_of(entry.account, entry.idempotency_key)
        return cls(key, entry.request)


class Eraser:
    """Erases for one router, as long as its own log is open.

    A keeper that was paused may wake when another one has taken its place
    and a key that it is about to free has been claimed anew. A row that was
    deleted and made again can bear the same version, so the version of the
    claim is no proof. Each transaction is therefore bound to the version of
    the router's own row as well, read before: its taker has changed it.

    Args:
      table: Client of the table.
      objects: Client of the object store.
      throttle: Spaces the deletions.
      own_log: Gives the log of this router; empty while none is open.
    """

    def __init__(
        self,
        table: platform_table.Table,
        objects: platform_objects.Objects,
        throttle: durable_throttle.Throttle,
        own_log: Callable[[], str],
    ) -> None:
        self._table = table
        self._objects = objects
        self._throttle = throttle
        self._own_log = own_log

    async def erase(
        self, log: str, first: int, last: int
    ) -> AsyncIterator[int]:
        """Erases segments; yields the number of each once it is gone.

        Seals stay: they are a few bytes, and a former owner that was paused
        for longer than the retention must still find its log ended.

        Raises:
          PlatformError: To be repeated from the same segment on.
          SupersededError: This router's log is not open.
          MalformedSegmentError: The object is no segment; it stays.
        """
        for numbers in _split_by_index_row(first, last):
            present = []
            claimed_keys = []
            for number in numbers:
                segment = await durable_log.read(self._objects, log, number)
                if segment is not None and not segment.sealed_by:
                    present.append(number)
                    claimed_keys += map(
                        _ClaimedKey.of, _with_idempotency_key(segment.accepted)
                    )
            await self._release_keys(claimed_keys)
            if numbers[-1] == durable_index.last_segment_of_row(numbers[0]):
                await self._delete_index_row(log, numbers[-1])
            for number in numbers:
                if number in present:
                    await self._delete_segment(log, number)
                yield number

    async def delete_log_row(self, row: durable_row.LogRow) -> None:
        """Deletes the row of a log whose segments are erased."""
        await self._delete_index_row(row.log, row.last)
        await self._delete_row(durable_row.TABLE, row.log)

    async def _delete_segment(self, log: str, number: int) -> None:
        await self._throttle.acquire()
        await self._objects.delete(durable_log.key_of(log, number))

    async def _delete_index_row(self, log: str, number: int) -> None:
        key = durable_index.row_key(log, number)
        await self._delete_row(durable_index.TABLE, key)

    async def _release_keys(self, claimed_keys: list[_ClaimedKey]) -> None:
        for start in range(0, len(claimed_keys), MAX_ROWS_PER_TRANSACTION):
            await self._throttle.acquire()
            own_log = await self._own_log_condition()
            claimed = [
                condition
                for key in claimed_keys[
                    start : start + MAX_ROWS_PER_TRANSACTION
                ]
                async for condition in self._claim_condition(key)
            ]
            await self._delete_rows(own_log, claimed)

    async def _claim_condition(
        self, claimed: _ClaimedKey
    ) -> AsyncIterator[platform_table.Condition]:
        """Gives the claim of a request, if it still holds its key."""
        table = durable_claim_writer.TABLE
        row = await self._table.get(table, claimed.key)
        if row is not None and row.value['request'] == claimed.request:
            yield platform_table.Condition(table, claimed.key, row.version)

    async def _own_log_condition(self) -> platform_table.Condition:
        """Binds what is read after this to this router's log being open."""
        log = self._own_log()
        found = await durable_row.read(self._table, log)
        if found is None or found.row.keeper:
            raise request_error.SupersededError(f'log {log!r} is not open')
        return platform_table.Condition(durable_row.TABLE, log, found.version)

    async def _delete_row(self, table: str, key: str) -> None:
        await self._throttle.acquire()
        own_log = await self._own_log_condition()
        row = await self._table.get(table, key)
        if row is not None:
            found = platform_table.Condition(table, key, row.version)
            await self._delete_rows(own_log, [found])

    async def _delete_rows(
        self,
        own_log: platform_table.Condition,
        rows: list[platform_table.Condition],
    ) -> None:
        if rows:
            writes = [
                platform_table.Write(row.table, row.key, None) for row in rows
            ]
            await self._table.transact([own_log, *rows], writes)


def _split_by_index_row(first: int, last: int) -> Iterator[range]:
    """Cuts a span of segments where the rows of the index are cut."""
    while first <= last:
        end = min(last, durable_index.last_segment_of_row(first))
        yield range(first, end + 1)
        first = end + 1


def _with_idempotency_key(
    entries: Iterable[durable_entry.Entry],
) -> Iterator[durable_entry.Entry]:
    return (entry for entry in entries if entry.idempotency_key)
