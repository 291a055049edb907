"""Records that wait to be written to the log, and their groups."""

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
    """Entries of a sealed log that are moved here, all or none."""

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
    """A record on its way into the log.

    Attributes:
      record: The record.
      size: Its bytes.
      done: Result None once the record is durable, or why it is not.
      abandoned: Nobody waits any more; an entry must not run.
    """

    record: Record
    size: int
    done: asyncio.Future[None]
    abandoned: bool = False

    @property
    def is_entry(self) -> bool:
        """Whether it is a new entry, which can be refused as not run."""
        return isinstance(self.record, durable_entry.Entry)

    def fail(self, exc: Exception) -> None:
        """Tells who waits that the record is not durable."""
        if not self.done.done():
            self.done.set_exception(exc)

    def succeed(self) -> None:
        """Tells who waits that the record is durable."""
        if not self.done.done():
            self.done.set_result(None)


def make_item(record: Record) -> Item:
    """Makes the item of a record; needs a running event loop.

    Raises:
      UnstorableRecordError: The record holds a value that cannot be packed.
    """
    size = _size_of(record)
    done = asyncio.get_running_loop().create_future()
    # Not everybody waits for a record; a failure that nobody fetches is not
    # an error of the program.
    done.add_done_callback(lambda fut: fut.cancelled() or fut.exception())
    return Item(record, size, done)


class Queue:
    """Items in the order in which they are to be written."""

    def __init__(self) -> None:
        self._items: collections.deque[Item] = collections.deque()
        self.wakeup = asyncio.Event()
        self.queued_bytes = 0

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[Item]:
        return iter(self._items)

    def add(self, new: Item, within_s: float = 0.0) -> None:
        """Queues an item, to go along with another or after `within_s`."""
        self._items.append(new)
        self.queued_bytes += new.size
        if within_s:
            loop = asyncio.get_running_loop()
            loop.call_later(within_s, self.wakeup.set)
        else:
            self.wakeup.set()

    def remove(self, old: Item) -> bool:
        """Takes an item back; False if it is being written already."""
        if old not in self._items:
            return False
        self._items.remove(old)
        self.queued_bytes -= old.size
        return True

    def take_next_batch(self) -> list[Item]:
        """Takes the items of the next segment."""
        taken: list[Item] = []
        free_bytes = MAX_SEGMENT_BYTES
        while self._items and (not taken or self._items[0].size <= free_bytes):
            taken.append(self._items.popleft())
            free_bytes -= taken[-1].size
        if not self._items:
            self.wakeup.clear()
        return taken

    def release_bytes(self, items: Iterable[Item]) -> None:
        """Frees the memory of items that were cut and are done."""
        self.queued_bytes -= sum(old.size for old in items)

    def take_entries(self) -> list[Item]:
        """Takes the new entries and leaves the other records."""
        entries = [item for item in self._items if item.is_entry]
        for item in entries:
            self.remove(item)
        return entries

    def take_all(self) -> list[Item]:
        """Takes all items."""
        taken = list(self._items)
        self._items.clear()
        self.release_bytes(taken)
        return taken


def build_segment(
    items: list[Item], log: str, number: int, floor: int
) -> durable_segment.Segment:
    """Makes the segment of some items, and names its new entries."""
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
