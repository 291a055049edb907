"""Segments of a log and their form as bytes.

A segment is a msgpack array of a form number and the fields of `Segment`;
each record in it is an array of its fields in order of declaration.
"""

from __future__ import annotations

import dataclasses
import secrets
from typing import TYPE_CHECKING, Any

import msgpack

from quetzalsill.error import base
from quetzalsill_router.durable import answer as durable_answer
from quetzalsill_router.durable import entry as durable_entry
from quetzalsill_router.durable import error

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = [
    'Adopted',
    'Dispatched',
    'Segment',
    'Settled',
    'decode',
    'encode',
    'packed_size',
]

FORMAT_VERSION = 1
NONCE_BYTES = 16

# The place of an entry follows from where it stands, and its run and fence
# are records of their own.
ENTRY_FIELDS = tuple(
    field.name
    for field in dataclasses.fields(durable_entry.Entry)
    if field.name not in ('request', 'run', 'fence')
)
ANSWER_FIELDS = tuple(
    field.name for field in dataclasses.fields(durable_answer.Answer)
)


@dataclasses.dataclass(slots=True, frozen=True)
class Dispatched:
    """Who owns an entry from here on, and where it last was dispatched.

    Attributes:
      request: Id of the request.
      fence: Ownership epoch.
      run: Newest dispatch; None while there was none.
    """

    request: str
    fence: int
    run: durable_entry.Run | None


@dataclasses.dataclass(slots=True, frozen=True)
class Settled:
    """The outcome of an entry.

    Attributes:
      request: Id of the request.
      account: Client account, which alone may read the answer.
      answer: The outcome.
    """

    request: str
    account: str
    answer: durable_answer.Answer


@dataclasses.dataclass(slots=True, frozen=True)
class Adopted:
    """The entries of a sealed log have been moved to this one.

    Attributes:
      log: Name of the sealed log.
      seal: Number of the seal under which they were moved.
    """

    log: str
    seal: int


@dataclasses.dataclass(slots=True)
class Segment:
    """One object of a log.

    Attributes:
      nonce: Tells this write from all others, so that the writer knows its
        own work when the answer to the write was lost.
      floor: Least number of the segments that a takeover must read.
      sealed_by: Log of the router that ends this log here; empty in a
        segment with records.
      accepted: New entries; their indices are part of their ids.
      dispatched: Dispatches and changes of owner.
      settled: Outcomes.
      adopted: Logs whose entries were moved to this one.
    """

    nonce: bytes = dataclasses.field(
        default_factory=lambda: secrets.token_bytes(NONCE_BYTES)
    )
    floor: int = 1
    sealed_by: str = ''
    accepted: list[durable_entry.Entry] = dataclasses.field(
        default_factory=list
    )
    dispatched: list[Dispatched] = dataclasses.field(default_factory=list)
    settled: list[Settled] = dataclasses.field(default_factory=list)
    adopted: list[Adopted] = dataclasses.field(default_factory=list)

    def without_accepted(self) -> Segment:
        """Gives another write of the same records, less the new entries."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        return dataclasses.replace(self, nonce=nonce, accepted=[])


def packed_size(record: durable_entry.Entry | Dispatched | Settled) -> int:
    """Gives the bytes of a record.

    Records are packed once before they are queued, so that a value which
    cannot be packed, such as half a surrogate pair in a caller's text, fails
    its own request and not the segment of many.

    Raises:
      UnstorableRecordError: It holds a value that cannot be packed.
    """
    try:
        return len(msgpack.packb(_from_record(record)))
    except (OverflowError, TypeError, ValueError) as exc:
        raise error.UnstorableRecordError(str(exc)) from exc


def encode(segment: Segment) -> bytes:
    """Packs a segment."""
    values = [
        FORMAT_VERSION,
        segment.nonce,
        segment.floor,
        segment.sealed_by,
        [_from_entry(entry) for entry in segment.accepted],
        [_from_dispatched(record) for record in segment.dispatched],
        [_from_settled(record) for record in segment.settled],
        [[record.log, record.seal] for record in segment.adopted],
    ]
    return msgpack.packb(values)


def decode(data: bytes, log: str, number: int) -> Segment:
    """Unpacks the segment with a number in a log.

    Raises:
      MalformedSegmentError: It is not a segment.
    """
    try:
        form, *fields = msgpack.unpackb(data)
        if form != FORMAT_VERSION:
            raise error.MalformedSegmentError(f'form {form}')
        return _to_segment(fields, log, number)
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        detail = f'{log}/{number}: {exc}'
        raise error.MalformedSegmentError(detail) from exc


def _to_segment(fields: list[Any], log: str, number: int) -> Segment:
    nonce, floor, sealed_by, accepted, dispatched, settled, adopted = fields
    return Segment(
        nonce,
        floor,
        sealed_by,
        list(_to_entries(accepted, log, number)),
        [_to_dispatched(*values) for values in dispatched],
        [_to_settled(*values) for values in settled],
        [Adopted(*values) for values in adopted],
    )


def _to_entries(
    accepted: list[Any], log: str, number: int
) -> Iterator[durable_entry.Entry]:
    for index, (fields, run) in enumerate(accepted):
        entry = durable_entry.Entry(
            **dict(zip(ENTRY_FIELDS, fields, strict=True))
        )
        entry.request = str(durable_entry.Position(log, number, index))
        entry.run = _to_run(run)
        yield entry


def _from_record(
    record: durable_entry.Entry | Dispatched | Settled,
) -> list[Any]:
    match record:
        case durable_entry.Entry():
            return _from_entry(record)
        case Dispatched():
            return _from_dispatched(record)
        case Settled():
            return _from_settled(record)


def _from_entry(entry: durable_entry.Entry) -> list[Any]:
    fields = [getattr(entry, name) for name in ENTRY_FIELDS]
    return [fields, _from_run(entry.run)]


def _from_run(run: durable_entry.Run | None) -> list[Any] | None:
    return run and [run.attempt, run.upstream, run.incarnation, run.engine]


def _to_run(values: list[Any] | None) -> durable_entry.Run | None:
    return values and durable_entry.Run(*values)


def _from_dispatched(record: Dispatched) -> list[Any]:
    return [record.request, record.fence, _from_run(record.run)]


def _to_dispatched(
    request: str, fence: int, run: list[Any] | None
) -> Dispatched:
    return Dispatched(request, fence, _to_run(run))


def _from_settled(record: Settled) -> list[Any]:
    answer = [getattr(record.answer, name) for name in ANSWER_FIELDS]
    return [record.request, record.account, answer]


def _to_settled(request: str, account: str, fields: list[Any]) -> Settled:
    answer = durable_answer.Answer(
        **dict(zip(ANSWER_FIELDS, fields, strict=True))
    )
    answer.ran = base.Ran(answer.ran)
    return Settled(request, account, answer)
