"""The frame that all datagrams between gateways share."""

from __future__ import annotations

import enum
import math
from typing import Any

import msgpack

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import revision as revision_lib

__all__ = [
    'DECODE_ERRORS',
    'Kind',
    'bounded_age_s',
    'bounded_count',
    'bounded_key',
    'bounded_number',
    'bounded_revision',
    'bounded_text',
    'pack',
    'unpack',
]

VERSION = 8
# No count that is sent gets near it, so a larger one comes from a faulty
# sender.
MAX_COUNT = revision_lib.MAX
# A longer time or key comes from a faulty sender.
MAX_AGE_S = 1e7
MAX_KEY_LENGTH = 200
# Raised by decoding fields of an unexpected number, type or size.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    AttributeError,
    LookupError,
    OverflowError,
    msgpack.UnpackException,
)


class Kind(enum.IntEnum):
    """Kind of a datagram.

    The `LEGACY` kinds are updates that have versions without epochs. Gateways
    of the previous release send them during a rolling restart, and drop the
    kinds that they don't know. `MEMBERSHIP` has no software versions; it is
    only received. The other kinds are the same in both releases.
    """

    STATE = 1
    LEGACY_MEMBERSHIP = 2
    LEGACY_CONFIGURATION = 3
    SNAPSHOT_REQUEST = 4
    RELAY = 5
    MEMBERSHIP = 6
    CONFIGURATION = 7
    QUARANTINE = 8
    LIMITS = 9
    NOTICES = 10
    SPEEDS = 11
    ACCOUNTS = 12
    LAPSED = 13
    VERSIONED_MEMBERSHIP = 14
    ORIGINS = 15
    ORIGIN_QUERY = 16
    ORIGIN_ANSWER = 17
    VERSIONS = 18
    STORED_VERSIONS = 19


def pack(kind: Kind, fields: tuple[Any, ...]) -> bytes:
    """Returns the datagram for a kind and its fields."""
    return msgpack.packb((VERSION, int(kind), *fields))


def unpack(data: bytes) -> tuple[Kind, list[Any]]:
    """Returns the kind and the fields of a datagram.

    Raises:
      error.PeerError: The data is no datagram of a gateway, or of another
        protocol version.
    """
    try:
        version, kind, *fields = msgpack.unpackb(data, strict_map_key=False)
        if version != VERSION:
            raise error.PeerError(
                f'protocol version {version}, expected {VERSION}'
            )
        return Kind(kind), fields
    except DECODE_ERRORS as exc:
        raise error.PeerError(f'malformed datagram: {exc!r}') from exc


def bounded_count(value: Any) -> int:
    """Returns a received count, limited to the valid range."""
    return min(MAX_COUNT, max(0, int(value)))


def bounded_revision(pair: Any) -> revision_lib.Revision:
    """Returns a received revision, limited to the valid range."""
    epoch, version = pair
    return revision_lib.Revision(bounded_count(epoch), bounded_count(version))


def bounded_age_s(value: Any) -> float:
    """Returns a received age in seconds, limited to the valid range.

    Raises:
      ValueError: It is not a number.
    """
    return bounded_number(value, MAX_AGE_S)


def bounded_number(value: Any, limit: float) -> float:
    """Returns a received number, limited to the range from 0 to `limit`.

    Raises:
      ValueError: It is not a number.
    """
    number = float(value)
    if math.isnan(number):
        raise ValueError('not a number')
    return min(limit, max(0.0, number))


def bounded_key(value: Any) -> str:
    """Returns a received key of an upstream.

    Raises:
      ValueError: It is no text, or too long.
    """
    return bounded_text(value, MAX_KEY_LENGTH)


def bounded_text(value: Any, limit: int) -> str:
    """Returns a received text of at most `limit` characters.

    Raises:
      ValueError: It is no text, or too long.
    """
    if not isinstance(value, str) or len(value) > limit:
        raise ValueError('invalid text')
    return value
