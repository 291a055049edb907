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
      epoch: Epoch of the source in which they were stored; None if unknown.
      version: Number of the change that wrote the row; 0 if unknown.
    """

    service: str
    names: frozenset[str] = frozenset()
    epoch: int | None = None
    version: int = 0


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


def encode(row: Row) -> dict[str, Any]:
    """Returns the value of a row."""
    value = {'service': row.service, 'versions': sorted(row.names)}
    return value if row.epoch is None else value | {'epoch': row.epoch}


def decode(key: str, stored: source.StoredRow) -> Row:
    """Returns a row; one without versions if its value is malformed.

    Args:
      key: Key of the row, which is the name of its service.
      stored: The row.
    """
    try:
        names, epoch = _decode_names(stored.value), _decode_epoch(stored.value)
    except DECODE_ERRORS as exc:
        event.note(event.EntryInvalid(f'versions of {key}', repr(exc)))
        return Row(key, version=stored.version)
    return Row(key, names, epoch, stored.version)


def _decode_epoch(value: Any) -> int | None:
    """Returns the epoch; None in a row of the previous release."""
    epoch = value.get('epoch')
    # An exact type check, as bool is a subclass of int.
    if epoch is not None and type(epoch) is not int:
        raise TypeError('epoch is no integer')
    return epoch


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
