"""Masks secrets of the configuration for those who may not edit it."""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Iterator
from typing import Any

from quetzalsill.config import model
from quetzalsill.schema import key

__all__ = ['MASK', 'masked']

MASK = '***'


def _classes(annotation: Any) -> Iterator[type]:
    """Yields the sections that a type annotation mentions."""
    if dataclasses.is_dataclass(annotation):
        yield annotation
    for argument in typing.get_args(annotation):
        yield from _classes(argument)


def _secret_keys(section: type) -> Iterator[str]:
    """Yields the names of secret keys of a section and those below it."""
    hints = typing.get_type_hints(section)
    for field in dataclasses.fields(section):
        spec = field.metadata.get(key.METADATA_KEY)
        if spec is not None and spec.secret:
            yield field.name
        for inner in _classes(hints[field.name]):
            yield from _secret_keys(inner)


_SECRETS = frozenset(_secret_keys(model.Configuration))


def masked(plain: Any) -> Any:
    """Copies JSON data with the value of each secret key replaced."""
    if isinstance(plain, dict):
        return {
            name: MASK if name in _SECRETS else masked(value)
            for name, value in plain.items()
        }
    if isinstance(plain, list):
        return [masked(item) for item in plain]
    return plain
