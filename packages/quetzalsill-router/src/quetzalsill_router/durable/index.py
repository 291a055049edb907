"""Index of answers: in which segment the outcome of a request stands.

A row covers a few neighbouring segments of acceptance and grows as their
entries are settled. The log is the truth and the index only a way to find
it, so rows are written late and in groups, and whoever takes a log over
writes what its owner did not come to.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from typing import TYPE_CHECKING

from quetzalsill.platform import error as platform_error
from quetzalsill.platform import table as platform_table
from quetzalsill.telemetry import log as telemetry_log
from quetzalsill_router.durable import entry as durable_entry

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from quetzalsill_router.durable import throttle as durable_throttle

__all__ = [
    'Index',
    'Pointer',
    'TABLE',
    'find',
    'last_segment_of_row',
    'row_key',
]

TABLE = 'answers'
SEGMENTS_PER_ROW = 16
MAX_ROWS_PER_TRANSACTION = 32
RETRY_S = 0.5
# Bounds the memory of what waits for the table while only that is down.
MAX_QUEUED = 200_000

LOG = telemetry_log.get(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Pointer:
    """Says that the outcome of a request stands in a segment."""

    request: str
    log: str
    segment: int


class Index:
    """Writes pointers to settled outcomes."""

    def __init__(
        self, table: platform_table.Table, throttle: durable_throttle.Throttle
    ) -> None:
        self._table = table
        self._throttle = throttle
        self._queued: dict[str, Pointer] = {}
        self._on_durable: list[Callable[[], None]] = []
        self._wakeup = asyncio.Event()

    def add(
        self, pointers: Sequence[Pointer], on_durable: Callable[[], None]
    ) -> None:
        """Queues pointers; calls `release` once they are durable."""
        self._queued.update((pointer.request, pointer) for pointer in pointers)
        self._on_durable.append(on_durable)
        self._wakeup.set()

    @property
    def full(self) -> bool:
        """Whether so much waits for the table that no more may come."""
        return len(self._queued) >= MAX_QUEUED

    def find_queued(self, request: str) -> Pointer | None:
        """Finds a pointer that is not durable yet."""
        return self._queued.get(request)

    async def run(self) -> None:
        """Writes what is queued, until cancelled."""
        while True:
            await self._wakeup.wait()
            await self._throttle.acquire()
            await self.flush()

    async def flush(self) -> None:
        """Writes what is queued now; repeats until the platform took it."""
        self._wakeup.clear()
        pointers = list(self._queued.values())
        releases, self._on_durable = self._on_durable, []
        await self.write(pointers)
        for pointer in pointers:
            if self._queued.get(pointer.request) is pointer:
                del self._queued[pointer.request]
        for release in releases:
            release()

    async def write(self, pointers: Sequence[Pointer]) -> None:
        """Adds pointers to their rows; repeats until the platform took it.

        Repeating is harmless: a row is a union of pointers, and a request
        has one outcome only.
        """
        by_row = sorted(pointers, key=_row_key_of)
        rows = [
            (key, list(group))
            for key, group in itertools.groupby(by_row, _row_key_of)
        ]
        for start in range(0, len(rows), MAX_ROWS_PER_TRANSACTION):
            await self._write_rows(
                rows[start : start + MAX_ROWS_PER_TRANSACTION]
            )

    async def _write_rows(self, rows: list[tuple[str, list[Pointer]]]) -> None:
        while True:
            try:
                await self._update_rows(rows)
            except platform_error.ConditionFailedError:
                continue
            except platform_error.PlatformError as exc:
                LOG.warning('index_write_failed', rows=len(rows), why=exc.code)
                await asyncio.sleep(RETRY_S)
            else:
                return

    async def _update_rows(self, rows: list[tuple[str, list[Pointer]]]) -> None:
        conditions = []
        writes = []
        for key, pointers in rows:
            row = await self._table.get(TABLE, key)
            version, value = (row.version, row.value) if row else (0, {})
            added = dict(_to_item(pointer) for pointer in pointers)
            conditions.append(platform_table.Condition(TABLE, key, version))
            writes.append(platform_table.Write(TABLE, key, added | value))
        await self._table.transact(conditions, writes)


async def find(table: platform_table.Table, request: str) -> Pointer | None:
    """Looks up the outcome of a request; None if there is no pointer.

    Raises:
      NotFoundError: The id is not one that a journal gave.
      PlatformUnavailableError: The platform does not answer.
    """
    position = durable_entry.parse_request_id(request)
    row = await table.get(TABLE, row_key(position.log, position.segment))
    item = row.value.get(_item_key(position)) if row else None
    if item is None:
        return None
    segment, *log = item
    return Pointer(request, log[0] if log else position.log, segment)


def row_key(log: str, segment: int) -> str:
    """Gives the key of the row for entries accepted in a segment."""
    return f'{log}/{segment // SEGMENTS_PER_ROW:08d}'


def last_segment_of_row(segment: int) -> int:
    """Gives the last segment that has the same row as this one."""
    return segment | (SEGMENTS_PER_ROW - 1)


def _row_key_of(pointer: Pointer) -> str:
    position = durable_entry.parse_request_id(pointer.request)
    return row_key(position.log, position.segment)


def _item_key(position: durable_entry.Position) -> str:
    return f'{position.segment}-{position.index}'


def _to_item(pointer: Pointer) -> tuple[str, list[int | str]]:
    position = durable_entry.parse_request_id(pointer.request)
    log = [] if pointer.log == position.log else [pointer.log]
    return _item_key(position), [pointer.segment, *log]
