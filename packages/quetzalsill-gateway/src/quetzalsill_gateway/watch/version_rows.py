"""The stored form of the software versions of services."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import software_versions, upstream

if TYPE_CHECKING:
    from quetzalsill_gateway import source

__all__ = ['Row', 'StoredUpdate', 'decode', 'encode']

DECODE_ERRORS = (LookupError, TypeError, ValueError, AttributeError)


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A stored row.

    Attributes:
      service: The service.
      names: Its software versions.
      version: Number of the change that wrote the row.
    """

    service: str
    names: frozenset[str]
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class StoredUpdate:
    """Announces the versions that a gateway knows to be stored.

    Attributes:
      services: Services and their versions.
      epoch: Epoch of the source.
      sender: Name of the sending gateway; set on receipt.
    """

    services: tuple[tuple[str, tuple[str, ...]], ...]
    epoch: int
    sender: str = dataclasses.field(default='', compare=False)


def encode(service: str, names: frozenset[str]) -> dict[str, Any]:
    """Returns the value of a row."""
    return {'service': service, 'versions': sorted(names)}


def decode(key: str, stored: source.StoredRow) -> Row:
    """Returns a row; one without versions if its value is malformed.

    Args:
      key: Key of the row, which is the name of its service.
      stored: The row.
    """
    try:
        names = _decode_names(stored.value)
    except DECODE_ERRORS as exc:
        event.note(event.EntryInvalid(f'versions of {key}', repr(exc)))
        return Row(key, frozenset(), stored.version)
    return Row(key, names, stored.version)


def _decode_names(value: Any) -> frozenset[str]:
    names = value['versions']
    if not isinstance(names, list):
        raise TypeError('versions are no list')
    if len(names) > software_versions.MAX_VERSIONS:
        raise ValueError('too many versions')
    for name in names:
        if not isinstance(name, str):
            raise TypeError('version is no text')
        if len(name) > upstream.MAX_VERSION_LENGTH:
            raise ValueError('version is too long')
    return frozenset(names)
