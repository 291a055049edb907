"""Encodes and decodes announcements of stored software versions."""

from __future__ import annotations

from typing import Any

from quetzalsill_gateway.fleet import software_versions, upstream
from quetzalsill_gateway.peers import frame
from quetzalsill_gateway.watch import version_rows

__all__ = ['decode', 'encode']

MAX_NAME_LENGTH = 200
MAX_SERVICES = 1000


def encode(node: str, update: version_rows.StoredUpdate) -> bytes:
    """Returns the datagram for an update of the gateway `node`."""
    fields = (node, update.epoch, update.services)
    return frame.pack(frame.Kind.STORED_VERSIONS, fields)


def decode(fields: list[Any]) -> version_rows.StoredUpdate:
    """Returns the update in the fields of a datagram.

    Raises:
      ValueError, TypeError, LookupError: The fields are malformed.
    """
    node, epoch, services = fields
    if len(services) > MAX_SERVICES:
        raise ValueError('too many services')
    return version_rows.StoredUpdate(
        tuple(
            (frame.bounded_text(service, MAX_NAME_LENGTH), _names(names))
            for service, names in services
        ),
        frame.bounded_count(epoch),
        str(node),
    )


def _names(names: Any) -> tuple[str, ...]:
    if len(names) > software_versions.MAX_VERSIONS:
        raise ValueError('too many versions')
    return tuple(
        frame.bounded_text(name, upstream.MAX_VERSION_LENGTH) for name in names
    )
