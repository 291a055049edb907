"""Reading and sealing the log of any router.

The segments of a log are numbered from 1 without gaps, but for the oldest,
which expire. The first number that does not exist is therefore found by a
few reads and no list of the whole log.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.platform import error as platform_error
from quetzalsill_router.durable import entry as durable_entry
from quetzalsill_router.durable import error
from quetzalsill_router.durable import segment as durable_segment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from quetzalsill.platform import objects as platform_objects

__all__ = [
    'ReplayedLog',
    'Seal',
    'key_of',
    'last_number',
    'read',
    'read_entry',
    'replay',
    'seal',
]

MAX_CONCURRENT_READS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Seal:
    """The end of a log.

    Attributes:
      number: Number of the seal among the segments.
      by: Log of the router that sealed.
    """

    number: int
    by: str


@dataclasses.dataclass(slots=True)
class ReplayedLog:
    """What a sealed log leaves to its taker.

    Attributes:
      entries: Unsettled entries, with the newest run and fence known.
      settled: Settled requests with the numbers of the segments that hold
        the outcomes; the index may lack them.
      adopted: Logs that were moved to this one; their rows may be open.
    """

    entries: list[durable_entry.Entry]
    settled: list[tuple[str, int]]
    adopted: list[durable_segment.Adopted]


def key_of(log: str, number: int) -> str:
    """Gives the object key of a segment."""
    return f'journal/{log}/{number:08d}'


async def read(
    objects: platform_objects.Objects, log: str, number: int
) -> durable_segment.Segment | None:
    """Reads a segment; None if there is none.

    Raises:
      MalformedSegmentError: The object is no segment.
      PlatformUnavailableError: The store does not answer.
    """
    data = await objects.get(key_of(log, number))
    if data is None:
        return None
    return durable_segment.decode(data, log, number)


async def read_entry(
    objects: platform_objects.Objects, position: durable_entry.Position
) -> durable_entry.Entry | None:
    """Reads an entry where it was accepted; None if there is none."""
    segment = await read(objects, position.log, position.segment)
    if segment is None or position.index >= len(segment.accepted):
        return None
    return segment.accepted[position.index]


async def last_number(
    objects: platform_objects.Objects, log: str, known: int
) -> int:
    """Finds the newest segment, from one known to have existed (0 if none)."""
    step = 1
    while await objects.get(key_of(log, known + step)) is not None:
        known += step
        step *= 2
    absent = known + step
    while absent - known > 1:
        middle = (known + absent) // 2
        if await objects.get(key_of(log, middle)) is None:
            absent = middle
        else:
            known = middle
    return known


async def seal(
    objects: platform_objects.Objects, log: str, after: int, by: str
) -> Seal:
    """Ends a log behind a segment, or finds who did.

    Only one create of a number succeeds. So the former owner, paused just
    before its write, finds the number taken when it wakes; and of two
    takers that race, one finds the seal of the other.

    Returns:
      The seal found or made; `by` tells whose it is.

    Raises:
      PlatformUnavailableError, PlatformAnswerLostError: To be repeated; a
        seal that took effect after all is found by the repetition.
    """
    number = after + 1
    mine = durable_segment.Segment(sealed_by=by)
    while True:
        try:
            data = durable_segment.encode(mine)
            await objects.put(key_of(log, number), data, create_only=True)
        except platform_error.ObjectExistsError:
            found = await read(objects, log, number)
            if found is not None and found.sealed_by:
                return Seal(number, found.sealed_by)
            number += 1
        else:
            return Seal(number, by)


async def replay(
    objects: platform_objects.Objects, log: str, end: int
) -> ReplayedLog:
    """Reads what a log that is sealed at `end` leaves.

    Raises:
      LogDamagedError: A segment or entry that is needed is missing.
      MalformedSegmentError: An object is no segment.
      PlatformUnavailableError: The store does not answer.
    """
    last, newest = await _last_record_segment(objects, log, end)
    if newest is None:
        return ReplayedLog({}, [], [])
    replayed = ReplayedLog([], [], [])
    entries: dict[str, durable_entry.Entry] = {}
    owners: dict[str, durable_segment.Dispatched] = {}
    async for number, segment in _read_segments(
        objects, log, newest.floor, last
    ):
        entries.update((entry.request, entry) for entry in segment.accepted)
        owners.update((record.request, record) for record in segment.dispatched)
        for record in segment.settled:
            entries.pop(record.request, None)
            owners.pop(record.request, None)
            replayed.settled.append((record.request, number))
        replayed.adopted += segment.adopted
    await _load_entries_accepted_elsewhere(objects, entries, owners.keys())
    for record in owners.values():
        entries[record.request].run = record.run
        entries[record.request].fence = record.fence
    replayed.entries += entries.values()
    return replayed


async def _last_record_segment(
    objects: platform_objects.Objects, log: str, end: int
) -> tuple[int, durable_segment.Segment | None]:
    """Steps back over seals to the newest segment with records."""
    for number in range(end - 1, 0, -1):
        segment = await _read_required(objects, log, number)
        if not segment.sealed_by:
            return number, segment
    return 0, None


async def _read_required(
    objects: platform_objects.Objects, log: str, number: int
) -> durable_segment.Segment:
    segment = await read(objects, log, number)
    if segment is None:
        raise error.LogDamagedError(key_of(log, number))
    return segment


async def _read_segments(
    objects: platform_objects.Objects, log: str, first: int, last: int
) -> AsyncIterator[tuple[int, durable_segment.Segment]]:
    """Reads segments, a few at once: answers in them may be large."""
    for start in range(first, last + 1, MAX_CONCURRENT_READS):
        numbers = range(start, min(start + MAX_CONCURRENT_READS, last + 1))
        reads = (_read_required(objects, log, number) for number in numbers)
        for found in zip(numbers, await asyncio.gather(*reads), strict=True):
            yield found


async def _load_entries_accepted_elsewhere(
    objects: platform_objects.Objects,
    entries: dict[str, durable_entry.Entry],
    requests: Iterable[str],
) -> None:
    """Fetches entries accepted below the floor or in an adopted log."""
    missing = [request for request in requests if request not in entries]
    positions = [durable_entry.parse_request_id(request) for request in missing]
    for log, number in {
        (position.log, position.segment) for position in positions
    }:
        segment = await _read_required(objects, log, number)
        by_request = {entry.request: entry for entry in segment.accepted}
        for request in missing:
            if request in by_request:
                entries[request] = by_request[request]
    for request in missing:
        if request not in entries:
            raise error.LogDamagedError(f'entry {request}')
