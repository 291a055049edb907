"""Encoding of messages as msgpack arrays `[type number, field, ...]`.

The checks of each class are derived once, at import, from the annotations of
its fields, so that decoding a message costs one comparison of types and one
pass over each list.
"""

from __future__ import annotations

import dataclasses
import math
import operator
import typing
from typing import TYPE_CHECKING, Any

import msgpack

from quetzalsill.wire import error, message

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['MAX_ITEMS', 'decode', 'encode']

MAX_ITEMS = 65536

Check = typing.Callable[[list[Any]], bool]


def _bytes_check(index: int) -> Check:
    allowed = {bytes}
    return lambda parts: allowed.issuperset(map(type, parts[index]))


def _strings_check(index: int) -> Check:
    allowed = {str}
    return lambda parts: allowed.issuperset(map(type, parts[index]))


def _pairs_check(index: int) -> Check:
    pair = [str, str]
    return lambda parts: all(
        type(entry) is list and list(map(type, entry)) == pair
        for entry in parts[index]
    )


def _finite_check(index: int) -> Check:
    return lambda parts: math.isfinite(parts[index])


CHECK_FACTORIES: dict[Any, Callable[[int], Check]] = {
    list[bytes]: _bytes_check,
    list[str]: _strings_check,
    list[list[str]]: _pairs_check,
    float: _finite_check,
}


@dataclasses.dataclass(slots=True)
class Schema:
    """How messages of one class are encoded and checked.

    Attributes:
      number: Type number of the class.
      cls: The class.
      names: Names of its fields.
      types: Exact types of all parts, including the type number.
      checks: Further checks of single parts, each with its index.
      fields: Returns the fields of a message as a tuple.
    """

    number: int
    cls: type[message.Message]
    names: tuple[str, ...]
    types: list[type]
    checks: tuple[tuple[int, Check], ...]
    fields: Callable[[Any], tuple[Any, ...]]


def _fields_getter(names: tuple[str, ...]) -> Callable[[Any], tuple[Any, ...]]:
    getter = operator.attrgetter(*names)
    if len(names) == 1:
        return lambda msg: (getter(msg),)
    return getter


def _make_schema(number: int, cls: type[message.Message]) -> Schema:
    hints = typing.get_type_hints(cls)
    names = tuple(field.name for field in dataclasses.fields(cls))
    annotations = [hints[name] for name in names]
    checks = tuple(
        (index, CHECK_FACTORIES[annotation](index))
        for index, annotation in enumerate(annotations, start=1)
        if annotation in CHECK_FACTORIES
    )
    types = [typing.get_origin(each) or each for each in annotations]
    return Schema(
        number, cls, names, [int, *types], checks, _fields_getter(names)
    )


SCHEMAS = {
    number: _make_schema(number, cls)
    for number, cls in message.BY_NUMBER.items()
}
SCHEMA_BY_CLASS = {schema.cls: schema for schema in SCHEMAS.values()}
PACK = msgpack.Packer().pack


def encode(msg: message.Message) -> bytes:
    """Encodes a message; not thread-safe.

    Raises:
      error.MalformedFrameError: A field cannot be encoded.
    """
    schema = SCHEMA_BY_CLASS[type(msg)]
    try:
        return PACK((schema.number, *schema.fields(msg)))
    except (TypeError, ValueError, OverflowError) as exc:
        raise error.MalformedFrameError(
            f'{schema.cls.__name__} cannot be encoded: {exc}'
        ) from exc


def decode(body: bytes) -> message.Message:
    """Decodes and checks one message.

    Raises:
      error.MalformedFrameError: The body is not msgpack, or its parts do not
        match the fields of the message.
      error.UnknownMessageError: No message class has the type number.
    """
    parts = _unpack(body)
    schema = SCHEMAS.get(parts[0])
    if schema is None:
        raise error.UnknownMessageError(f'type number {parts[0]}')
    if list(map(type, parts)) != schema.types:
        _coerce_ints(schema, parts)
    for index, check in schema.checks:
        if not check(parts):
            raise _type_error(schema, index)
    return schema.cls(*parts[1:])


def _unpack(body: bytes) -> list[Any]:
    # The unpacker preallocates memory for the announced items of each nested
    # array header, so that a frame of a few bytes could allocate gigabytes. An
    # array can't hold more items than the body has bytes, and MAX_ITEMS limits
    # it for long bodies.
    try:
        parts = msgpack.unpackb(
            body,
            max_array_len=min(len(body), MAX_ITEMS),
            max_map_len=0,
            max_ext_len=0,
        )
    except (msgpack.UnpackException, ValueError) as exc:
        raise error.MalformedFrameError(
            f'not msgpack: {type(exc).__name__}'
        ) from exc
    if type(parts) is not list or not parts or type(parts[0]) is not int:
        raise error.MalformedFrameError('not an array with a type number')
    return parts


def _coerce_ints(schema: Schema, parts: list[Any]) -> None:
    """Converts integers in float fields; rejects any other mismatch."""
    if len(parts) != len(schema.types):
        raise error.MalformedFrameError(
            f'{schema.cls.__name__} has {len(schema.types) - 1} fields, '
            f'found {len(parts) - 1}'
        )
    for index, (part, wanted) in enumerate(
        zip(parts, schema.types, strict=True)
    ):
        if type(part) is wanted:
            continue
        if wanted is not float or type(part) is not int:
            raise _type_error(schema, index)
        parts[index] = float(part)


def _type_error(schema: Schema, index: int) -> error.MalformedFrameError:
    return error.MalformedFrameError(
        f'{schema.cls.__name__}.{schema.names[index - 1]} does not fit its type'
    )
