"""Queue of records to be written to the log, and their batches."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_router.durable import entry as durable_entry
from quetzalsill_router.durable import segment as durable_segment

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

__all__ = ['Adoption', 'Item', 'Queue', 'build_segment', 'make_item']

MAX_SEGMENT_BYTES = 8_388_608


@dataclasses.dataclass(slots=True, frozen=True)
class Adoption:
    """Entries of a sealed log that are moved to this log atomically."""

    adopted: durable_segment.Adopted
    entries: list[durable_entry.Entry]


Record = (
    durable_entry.Entry
    | durable_segment.Dispatched
    | durable_segment.Settled
    | Adoption
)


@dataclasses.dataclass(slots=True, eq=False)
class Item:
    """A record that is queued for or being written to the log.

    Attributes:
      record: The record.
      size: Size of the record, in bytes.
      done: Resolves to None once the record is durable, or to the error that
        prevented it.
      abandoned: The caller has stopped waiting; an entry must not run.
    """

    record: Record
    size: int
    done: asyncio.Future[None]
    abandoned: bool = False

    @property
    def is_entry(self) -> bool:
        """Whether this is a new entry, which can be refused as not run."""
        return isinstance(self.record, durable_entry.Entry)

    def fail(self, exc: Exception) -> None:
        """Fails the future: the record is not durable."""
        if not self.done.done():
            self.done.set_exception(exc)

    def succeed(self) -> None:
        """Resolves the future: the record is durable."""
        if not self.done.done():
            self.done.set_result(None)


def make_item(record: Record) -> Item:
    """Creates the item of a record; requires a running event loop.

    Raises:
      UnstorableRecordError: The record holds a value that cannot be
        serialized.
    """
    size = _size_of(record)
    done = asyncio.get_running_loop().create_future()
    # Not every caller awaits its record. Retrieving the exception here keeps
    # asyncio from reporting it as never retrieved.
    done.add_done_callback(lambda fut: fut.cancelled() or fut.exception())
    return Item(record, size, done)


class Queue:
    """FIFO queue of items to be written."""

    def __init__(self) -> None:
        self._items: collections.deque[Item] = collections.deque()
        self.wakeup = asyncio.Event()
        self.queued_bytes = 0

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[Item]:
        return iter(self._items)

    def add(self, new: Item, within_s: float = 0.0) -> None:
        """Queues an item, written with the next batch or after `within_s`."""
        self._items.append(new)
        self.queued_bytes += new.size
        if within_s:
            loop = asyncio.get_running_loop()
            loop.call_later(within_s, self.wakeup.set)
        else:
            self.wakeup.set()

    def remove(self, old: Item) -> bool:
        """Removes an item; returns False if it is no longer queued."""
        if old not in self._items:
            return False
        self._items.remove(old)
        self.queued_bytes -= old.size
        return True

    def take_next_batch(self) -> list[Item]:
        """Removes and returns the items of the next segment."""
        taken: list[Item] = []
        free_bytes = MAX_SEGMENT_BYTES
        while self._items and (not taken or self._items[0].size <= free_bytes):
            taken.append(self._items.popleft())
            free_bytes -= taken[-1].size
        if not self._items:
            self.wakeup.clear()
        return taken

    def release_bytes(self, items: Iterable[Item]) -> None:
        """Subtracts the size of removed items that have been written."""
        self.queued_bytes -= sum(old.size for old in items)

    def take_entries(self) -> list[Item]:
        """Removes and returns the new entries; other records stay queued."""
        entries = [item for item in self._items if item.is_entry]
        for item in entries:
            self.remove(item)
        return entries

    def take_all(self) -> list[Item]:
        """Removes and returns all items."""
        taken = list(self._items)
        self._items.clear()
        self.release_bytes(taken)
        return taken


def build_segment(
    items: list[Item], log: str, number: int, floor: int
) -> durable_segment.Segment:
    """Builds a segment from items and assigns ids to its new entries."""
    segment = durable_segment.Segment(floor=floor)
    for record in (item.record for item in items):
        match record:
            case durable_entry.Entry():
                position = durable_entry.Position(
                    log, number, len(segment.accepted)
                )
                record.request = str(position)
                segment.accepted.append(record)
            case durable_segment.Dispatched():
                segment.dispatched.append(record)
            case durable_segment.Settled():
                segment.settled.append(record)
            case Adoption():
                segment.adopted.append(record.adopted)
                segment.dispatched += map(_ownership_record, record.entries)
    return segment


def _ownership_record(entry: durable_entry.Entry) -> durable_segment.Dispatched:
    return durable_segment.Dispatched(entry.request, entry.fence, entry.run)


def _size_of(record: Record) -> int:
    if isinstance(record, Adoption):
        return sum(
            durable_segment.packed_size(_ownership_record(e))
            for e in record.entries
        )
    return durable_segment.packed_size(record)
