"""Key-by-key comparison of two configurations."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from quetzalsill.schema import key as schema_key
from quetzalsill.schema import plain as schema_plain

if TYPE_CHECKING:
    from quetzalsill.config import model

__all__ = ['Change', 'difference']

MASK_DIGEST_CHARS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A key whose value differs between two configurations.

    Attributes:
      path: Path of the key, such as `accounts.lagos.limits.concurrency`.
      before: JSON value in the old configuration; None if the key is absent.
        A secret is replaced by a short digest.
      after: The same for the new configuration.
    """

    path: str
    before: Any
    after: Any


def difference(
    old: model.Configuration, new: model.Configuration
) -> list[Change]:
    """Returns the keys that differ, sorted by path, except `revision`."""
    before = dict(_leaves(old, ''))
    after = dict(_leaves(new, ''))
    changed = (
        Change(path, before.get(path), after.get(path))
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    )
    return [change for change in changed if change.path != 'revision']


def _leaves(section: Any, prefix: str) -> Iterator[tuple[str, Any]]:
    """Yields the path and JSON value of each key of a section."""
    for field in dataclasses.fields(section):
        value = getattr(section, field.name)
        path = f'{prefix}{field.name}'
        if field.metadata[schema_key.METADATA_KEY].secret:
            yield path, _mask(value)
        else:
            yield from _value_leaves(value, path)


def _value_leaves(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    if dataclasses.is_dataclass(value):
        yield from _leaves(value, f'{path}.')
    elif isinstance(value, dict):
        for name, item in value.items():
            yield from _value_leaves(item, f'{path}.{name}')
    else:
        yield path, schema_plain.to_plain(value)


def _mask(value: Any) -> str:
    digest = hashlib.sha256(json.dumps(value).encode()).hexdigest()
    return f'masked-{digest[:MASK_DIGEST_CHARS]}'
