"""Masks secrets of the configuration for operators who may not edit it."""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Iterator
from typing import Any

from quetzalsill.config import model
from quetzalsill.schema import key

__all__ = ['MASK', 'mask_secrets']

MASK = '***'


def _nested_dataclasses(annotation: Any) -> Iterator[type]:
    """Yields the dataclasses that a type annotation refers to."""
    if dataclasses.is_dataclass(annotation):
        yield annotation
    for argument in typing.get_args(annotation):
        yield from _nested_dataclasses(argument)


def _secret_keys(section: type) -> Iterator[str]:
    """Yields the names of all secret keys in a section and its subsections."""
    hints = typing.get_type_hints(section)
    for field in dataclasses.fields(section):
        spec = field.metadata.get(key.METADATA_KEY)
        if spec is not None and spec.secret:
            yield field.name
        for nested in _nested_dataclasses(hints[field.name]):
            yield from _secret_keys(nested)


_SECRETS = frozenset(_secret_keys(model.Configuration))


def mask_secrets(data: Any) -> Any:
    """Returns a copy of JSON data with every secret value replaced."""
    if isinstance(data, dict):
        return {
            name: MASK if name in _SECRETS else mask_secrets(value)
            for name, value in data.items()
        }
    if isinstance(data, list):
        return [mask_secrets(item) for item in data]
    return data
