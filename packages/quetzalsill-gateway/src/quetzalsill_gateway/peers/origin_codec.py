"""Encodes and decodes the origins of streams, and questions about them.

Records of one origin are sent together. Loop times are sent as the time that is
left, or as ages, since the clocks of two hosts differ.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import Any

from quetzalsill_gateway.fleet import (
    software_versions,
    stream_origins,
    upstream,
)
from quetzalsill_gateway.peers import frame

__all__ = [
    'OriginAnswer',
    'OriginQuery',
    'VersionsUpdate',
    'DECODERS',
    'UPDATES',
    'encode',
]

MAX_NAME_LENGTH = 200
# A longer time is a fault of its sender.
MAX_LEFT_S = 3600.0
MAX_SERVICES = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class OriginQuery:
    """Asks for the origin of a stream.

    Attributes:
      key: Key of the stream.
      service: Service that its caller asks for.
      sender: Name of the asking gateway.
    """

    key: bytes
    service: str
    sender: str = dataclasses.field(default='', compare=False)


@dataclasses.dataclass(slots=True, frozen=True)
class VersionsUpdate:
    """The software versions that a gateway has seen.

    Attributes:
      versions: Service and version of each, and the time since it was last
        seen, in seconds.
      complete_s: For how long it has seen all that were in use, in seconds.
      is_fresh: Whether its source has confirmed the membership just now.
      sender: Name of the sending gateway; set on receipt.
    """

    versions: tuple[tuple[str, str, float], ...]
    complete_s: float
    is_fresh: bool
    sender: str = dataclasses.field(default='', compare=False)


@dataclasses.dataclass(slots=True, frozen=True)
class OriginAnswer:
    """The answer to a query.

    Attributes:
      key: Key of the stream.
      record: Its origin; None if it is not known there.
      versions: Versions of the service.
      sender: Name of the answering gateway; set on receipt.
    """

    key: bytes
    record: stream_origins.Record | None
    versions: VersionsUpdate
    sender: str = dataclasses.field(default='', compare=False)


UPDATES = (
    stream_origins.OriginUpdate,
    OriginQuery,
    OriginAnswer,
    VersionsUpdate,
)
Update = (
    stream_origins.OriginUpdate | OriginQuery | OriginAnswer | VersionsUpdate
)


def encode(node: str, update: Update) -> bytes:
    """Returns the datagram for an update of the gateway `node`."""
    if isinstance(update, OriginQuery):
        return frame.pack(
            frame.Kind.ORIGIN_QUERY, (node, update.key, update.service)
        )
    if isinstance(update, VersionsUpdate):
        fields = (node, *_versions_fields(update))
        return frame.pack(frame.Kind.VERSIONS, fields)
    if isinstance(update, OriginAnswer):
        records = () if update.record is None else (update.record,)
        fields = (
            node,
            update.key,
            _groups(records),
            _versions_fields(update.versions),
        )
        return frame.pack(frame.Kind.ORIGIN_ANSWER, fields)
    return frame.pack(frame.Kind.ORIGINS, (node, _groups(update.records)))


def _decode_records(fields: list[Any]) -> stream_origins.OriginUpdate:
    """Returns the records in the fields of a datagram.

    Raises:
      ValueError, TypeError, LookupError: The fields are malformed.
    """
    node, groups = fields
    return stream_origins.OriginUpdate(tuple(_records(groups)), str(node))


def _decode_query(fields: list[Any]) -> OriginQuery:
    """Returns the query in the fields of a datagram.

    Raises:
      ValueError, TypeError, LookupError: The fields are malformed.
    """
    node, key, service = fields
    name = frame.bounded_text(service, MAX_NAME_LENGTH)
    return OriginQuery(_key(key), name, str(node))


def _decode_answer(fields: list[Any]) -> OriginAnswer:
    """Returns the answer in the fields of a datagram.

    Raises:
      ValueError, TypeError, LookupError: The fields are malformed.
    """
    node, key, groups, versions = fields
    records = _records(groups)
    if len(records) > 1 or any(one.key != key for one in records):
        raise ValueError('an answer about another stream')
    record = records[0] if records else None
    return OriginAnswer(
        _key(key), record, _versions(node, *versions), str(node)
    )


def _decode_versions(fields: list[Any]) -> VersionsUpdate:
    """Returns the versions in the fields of a datagram.

    Raises:
      ValueError, TypeError, LookupError: The fields are malformed.
    """
    return _versions(*fields)


def _groups(records: tuple[stream_origins.Record, ...]) -> list[Any]:
    now = asyncio.get_running_loop().time()
    groups: dict[software_versions.Origin, list[tuple[bytes, int]]] = (
        collections.defaultdict(list)
    )
    for record in records:
        left_s = max(0, round(record.expires_s - now))
        groups[record.origin].append((record.key, left_s))
    return [
        (origin.service, origin.version, origin.key, items)
        for origin, items in groups.items()
    ]


def _records(groups: Any) -> list[stream_origins.Record]:
    now = asyncio.get_running_loop().time()
    found = [
        stream_origins.Record(
            _key(key),
            software_versions.Origin(
                frame.bounded_text(service, MAX_NAME_LENGTH),
                frame.bounded_text(version, upstream.MAX_VERSION_LENGTH),
                frame.bounded_key(upstream_key),
            ),
            now + frame.bounded_number(left_s, MAX_LEFT_S),
        )
        for service, version, upstream_key, items in groups
        for key, left_s in items
    ]
    if len(found) > stream_origins.MAX_ITEMS:
        raise ValueError('too many records')
    return found


def _versions_fields(update: VersionsUpdate) -> tuple[Any, ...]:
    return update.versions, update.complete_s, update.is_fresh


def _versions(
    node: Any, versions: Any, complete_s: Any, is_fresh: Any
) -> VersionsUpdate:
    if len(versions) > MAX_SERVICES:
        raise ValueError('too many versions')
    return VersionsUpdate(
        tuple(
            (
                frame.bounded_text(service, MAX_NAME_LENGTH),
                frame.bounded_text(version, upstream.MAX_VERSION_LENGTH),
                frame.bounded_age_s(age_s),
            )
            for service, version, age_s in versions
        ),
        frame.bounded_age_s(complete_s),
        bool(is_fresh),
        str(node),
    )


def _key(value: Any) -> bytes:
    if not isinstance(value, bytes) or len(value) != stream_origins.KEY_BYTES:
        raise ValueError('invalid key of a stream')
    return value


DECODERS = {
    frame.Kind.ORIGINS: _decode_records,
    frame.Kind.ORIGIN_QUERY: _decode_query,
    frame.Kind.ORIGIN_ANSWER: _decode_answer,
    frame.Kind.VERSIONS: _decode_versions,
}
