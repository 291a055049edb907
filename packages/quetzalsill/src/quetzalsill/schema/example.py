"""Commented example documents, generated from the declared keys."""

from __future__ import annotations

import dataclasses
import json
import textwrap
import typing
from collections.abc import Iterator
from typing import Any

from quetzalsill.schema import check, key, plain

__all__ = ['example']

INDENT = '  '
WIDTH = 80


def example(cls: type) -> str:
    """Returns an example document that is valid for `cls`.

    Each key has its default or an example as value, and a comment with its
    description, type, unit, bounds and default.
    """
    return '\n'.join([*_object_lines(cls, 0), ''])


def _object_lines(cls: type, depth: int) -> Iterator[str]:
    """Yields the lines of an object; the last one is the closing brace."""
    types = typing.get_type_hints(cls)
    fields = dataclasses.fields(cls)
    yield '{'
    for field in fields:
        comma = '' if field is fields[-1] else ','
        yield from _key_lines(field, types[field.name], depth + 1, comma)
    yield f'{INDENT * depth}}}'


def _key_lines(
    field: dataclasses.Field, annotation: Any, depth: int, comma: str
) -> Iterator[str]:
    margin = INDENT * depth
    yield from _comment_lines(field, annotation, margin)
    if dataclasses.is_dataclass(annotation):
        lines = list(_object_lines(annotation, depth))
    else:
        lines = [json.dumps(_example_value(field))]
    lines[0] = f'{margin}"{field.name}": {lines[0]}'
    lines[-1] += comma
    yield from lines


def _comment_lines(
    field: dataclasses.Field, annotation: Any, margin: str
) -> Iterator[str]:
    spec: key.KeySpec = field.metadata[key.METADATA_KEY]
    sentences = [spec.doc]
    if not dataclasses.is_dataclass(annotation):
        sentences.append(
            f'{check.describe(annotation, spec)}; {_describe_default(field)}.'
        )
    for sentence in sentences:
        yield from textwrap.wrap(
            sentence,
            WIDTH,
            initial_indent=f'{margin}// ',
            subsequent_indent=f'{margin}// ',
            break_long_words=False,
            break_on_hyphens=False,
        )


def _describe_default(field: dataclasses.Field) -> str:
    if check.is_required(field):
        return 'required'
    return f'default {json.dumps(_default_value(field))}'


def _example_value(field: dataclasses.Field) -> Any:
    if check.is_required(field):
        return field.metadata[key.METADATA_KEY].example
    return _default_value(field)


def _default_value(field: dataclasses.Field) -> Any:
    if field.default is not dataclasses.MISSING:
        return plain.to_plain(field.default)
    return plain.to_plain(field.default_factory())
