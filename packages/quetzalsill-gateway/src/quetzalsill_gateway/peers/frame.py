"""The form that all datagrams between gateways have."""

from __future__ import annotations

import enum
from typing import Any

import msgpack

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import revision as revision_lib

__all__ = [
    'DECODE_ERRORS',
    'Kind',
    'bounded_count',
    'bounded_revision',
    'pack',
    'unpack',
]

VERSION = 8
# No count that is told comes near it; a greater one is a fault of its sender's.
MAX_COUNT = revision_lib.MAX
# What reading fields of unexpected number, type or size raises.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    AttributeError,
    LookupError,
    OverflowError,
    msgpack.UnpackException,
)


class Kind(enum.IntEnum):
    """What a datagram tells.

    News of a kind with `PLAIN` tells versions without epochs. Gateways of the
    release before send them, in a rolling restart, and leave out the kinds that
    they don't know; the others are alike in both.
    """

    STATE = 1
    LEGACY_MEMBERSHIP = 2
    LEGACY_CONFIGURATION = 3
    SNAPSHOT_REQUEST = 4
    RELAY = 5
    MEMBERSHIP = 6
    CONFIGURATION = 7


def pack(kind: Kind, fields: tuple[Any, ...]) -> bytes:
    """Returns a datagram."""
    return msgpack.packb((VERSION, int(kind), *fields))


def unpack(data: bytes) -> tuple[Kind, list[Any]]:
    """Returns kind and fields of a datagram.

    Raises:
      error.PeerError: It is none, or of another version.
    """
    try:
        version, kind, *fields = msgpack.unpackb(data, strict_map_key=False)
        if version != VERSION:
            raise error.PeerError(f'version {version}, not {VERSION}')
        return Kind(kind), fields
    except DECODE_ERRORS as exc:
        raise error.PeerError(f'no datagram of a gateway: {exc!r}') from exc


def bounded_count(figure: Any) -> int:
    """Returns a figure that is told, within what is possible."""
    return min(MAX_COUNT, max(0, int(figure)))


def bounded_revision(figures: Any) -> revision_lib.Revision:
    """Returns a revision that is told, within what is possible."""
    epoch, version = figures
    return revision_lib.Revision(bounded_count(epoch), bounded_count(version))
