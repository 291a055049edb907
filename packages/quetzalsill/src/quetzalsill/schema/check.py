"""Validation of parsed JSON against the dataclasses that declare it."""

from __future__ import annotations

import dataclasses
import functools
import math
import re
import typing
from collections.abc import Callable
from typing import Any, TypeVar

from quetzalsill.schema import error_collector
from quetzalsill.schema import key as schema_key

__all__ = ['check', 'describe', 'is_required']

T = TypeVar('T')
Checker = Callable[[Any, str, error_collector.ErrorCollector], Any]

NAME = re.compile(schema_key.NAME)
SCALARS = {
    str: 'string',
    int: 'integer',
    float: 'number',
    bool: 'true or false',
}


def check(cls: type[T], plain: Any, where: str) -> T:
    """Builds an instance of a declared class from parsed JSON.

    Args:
      cls: Dataclass whose fields are declared with `schema.key.key`.
      plain: Parsed JSON.
      where: File or other origin of the document, for error messages.

    Returns:
      The instance, with defaults for absent keys.

    Raises:
      InvalidDocumentError: With every error that was found.
    """
    errors = error_collector.ErrorCollector(where)
    built = _section_checker(cls)(plain, '', errors)
    errors.raise_if_any()
    return built


@functools.cache
def _section_checker(cls: type) -> Checker:
    """Returns the checker of a dataclass."""
    types = typing.get_type_hints(cls)
    fields = dataclasses.fields(cls)
    checkers = {
        field.name: _key_checker(
            types[field.name], field.metadata[schema_key.METADATA_KEY]
        )
        for field in fields
    }
    required = [field.name for field in fields if is_required(field)]

    def check_section(
        value: Any, path: str, errors: error_collector.ErrorCollector
    ) -> Any:
        if not isinstance(value, dict):
            errors.add(path, error_collector.describe_value(value), 'object')
            return None
        before = len(errors.errors)
        prefix = f'{path}.' if path else ''
        built = {}
        for name, item in value.items():
            checker = checkers.get(name)
            if checker is None:
                errors.add_unknown(f'{prefix}{name}', name, checkers)
            else:
                built[name] = checker(item, f'{prefix}{name}', errors)
        for name in required:
            if name not in value:
                errors.add(f'{prefix}{name}', 'nothing', 'a value is required')
        return cls(**built) if len(errors.errors) == before else None

    return check_section


def is_required(field: dataclasses.Field) -> bool:
    """Whether a key has no default."""
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _key_checker(annotation: Any, spec: schema_key.KeySpec) -> Checker:
    """Returns the checker of a key with this annotation."""
    if dataclasses.is_dataclass(annotation):
        return _section_checker(annotation)
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin is list:
        return _array_checker(_key_checker(arguments[0], spec), spec)
    if origin is dict and arguments[0] is str:
        return _mapping_checker(_key_checker(arguments[1], spec), spec)
    if annotation in SCALARS:
        return _scalar_checker(annotation, spec)
    raise TypeError(f'a key cannot be declared as {annotation!r}')


def _array_checker(item_checker: Checker, spec: schema_key.KeySpec) -> Checker:
    def check_array(
        value: Any, path: str, errors: error_collector.ErrorCollector
    ) -> Any:
        if not isinstance(value, list):
            errors.add_value(path, value, 'array', spec)
            return None
        return [
            item_checker(item, f'{path}[{index}]', errors)
            for index, item in enumerate(value)
        ]

    return check_array


def _mapping_checker(
    item_checker: Checker, spec: schema_key.KeySpec
) -> Checker:
    def check_mapping(
        value: Any, path: str, errors: error_collector.ErrorCollector
    ) -> Any:
        if not isinstance(value, dict):
            errors.add_value(path, value, 'object', spec)
            return None
        for name in value:
            if not NAME.fullmatch(name):
                found = f'the name {error_collector.describe_value(name)}'
                errors.add(path, found, f'names that match {schema_key.NAME}')
        return {
            name: item_checker(item, f'{path}.{name}', errors)
            for name, item in value.items()
        }

    return check_mapping


def _scalar_checker(value_type: type, spec: schema_key.KeySpec) -> Checker:
    convert = _CONVERTERS[value_type]
    is_allowed = _bounds_test(value_type, spec)
    allowed = describe(value_type, spec)

    def check_scalar(
        value: Any, path: str, errors: error_collector.ErrorCollector
    ) -> Any:
        converted = convert(value)
        if converted is None or not is_allowed(converted):
            errors.add_value(path, value, allowed, spec)
        return converted

    return check_scalar


def _to_str(value: Any) -> str | None:
    # JSON may contain an unpaired surrogate ("\ud800"). Python accepts such a
    # string, but encoding it later for a frame or a log line would fail.
    if type(value) is not str or not _is_encodable(value):
        return None
    return value


def _is_encodable(value: str) -> bool:
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _to_int(value: Any) -> int | None:
    return value if type(value) is int else None


def _to_float(value: Any) -> float | None:
    if type(value) not in (int, float):
        return None
    try:
        number = float(value)
    except OverflowError:
        return None
    return number if math.isfinite(number) else None


def _to_bool(value: Any) -> bool | None:
    return value if type(value) is bool else None


_CONVERTERS: dict[type, Callable[[Any], Any]] = {
    str: _to_str,
    int: _to_int,
    float: _to_float,
    bool: _to_bool,
}


def _bounds_test(
    value_type: type, spec: schema_key.KeySpec
) -> Callable[[Any], bool]:
    """Returns a function that tests a converted value against the spec."""
    if spec.choices:
        return lambda value: value in spec.choices
    if value_type is str and spec.pattern:
        pattern = re.compile(spec.pattern)
        return lambda value: pattern.fullmatch(value) is not None
    if value_type in (int, float):
        low = -math.inf if spec.minimum is None else spec.minimum
        high = math.inf if spec.maximum is None else spec.maximum
        return lambda value: low <= value <= high
    return lambda value: True


def describe(value_type: Any, spec: schema_key.KeySpec) -> str:
    """Describes the allowed values of a key."""
    arguments = typing.get_args(value_type)
    if arguments:
        kind = 'array of' if len(arguments) == 1 else 'object by name of'
        return f'{kind} {describe(arguments[-1], spec)}'
    if dataclasses.is_dataclass(value_type):
        return 'object'
    if spec.choices:
        return 'one of ' + ', '.join(map(repr, spec.choices))
    parts = [SCALARS[value_type]]
    if spec.pattern:
        parts.append(f'that matches {spec.pattern}')
    if spec.minimum is not None and spec.maximum is not None:
        parts.append(f'from {spec.minimum} to {spec.maximum}')
    elif spec.minimum is not None:
        parts.append(f'of at least {spec.minimum}')
    elif spec.maximum is not None:
        parts.append(f'of at most {spec.maximum}')
    if spec.unit:
        parts.append(f'in {spec.unit}')
    return ' '.join(parts)
