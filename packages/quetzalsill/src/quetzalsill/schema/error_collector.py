"""Collects the errors of a document during validation."""

from __future__ import annotations

import dataclasses
import difflib
import reprlib
from typing import TYPE_CHECKING, Any

from quetzalsill.schema import error

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill.schema import key

__all__ = ['MAX_ERRORS', 'ErrorCollector']

MAX_ERRORS = 100
MAX_SHOWN_CHARS = 60

_repr = reprlib.Repr()
_repr.maxstring = MAX_SHOWN_CHARS
_repr.maxother = MAX_SHOWN_CHARS
_repr.maxlong = MAX_SHOWN_CHARS


@dataclasses.dataclass(slots=True)
class ErrorCollector:
    """The errors found so far, up to `MAX_ERRORS`.

    Attributes:
      where: File or other origin of the document.
      errors: The errors in the order in which they were found.
    """

    where: str
    errors: list[error.InvalidKeyError] = dataclasses.field(
        default_factory=list
    )

    def add(
        self, path: str, found: str, allowed: str, advice: str = ''
    ) -> None:
        """Adds an error."""
        if len(self.errors) < MAX_ERRORS:
            invalid_key = error.InvalidKeyError(
                self.where, path, found, allowed, advice
            )
            self.errors.append(invalid_key)

    def add_value(
        self, path: str, value: Any, allowed: str, spec: key.KeySpec
    ) -> None:
        """Adds an error for an invalid value, masked if it is secret."""
        description = (
            f'{type_name(value)} (masked)'
            if spec.secret
            else describe_value(value)
        )
        self.add(path, description, allowed)

    def add_unknown(self, path: str, name: str, known: Iterable[str]) -> None:
        """Adds an error for an unknown key; suggests the closest known one."""
        if len(self.errors) >= MAX_ERRORS:
            return
        names = list(known)
        nearest = difflib.get_close_matches(name, names, n=1)
        advice = f'Did you mean {nearest[0]!r}?' if nearest else ''
        self.add(path, 'an unknown key', ', '.join(names), advice)

    def raise_if_any(self) -> None:
        """Raises `InvalidDocumentError` if there are any errors."""
        if self.errors:
            raise error.InvalidDocumentError(self.where, self.errors)


def describe_value(value: Any) -> str:
    """Returns the type and the shortened representation of a value."""
    return f'{type_name(value)} {_repr.repr(value)}'


def type_name(value: Any) -> str:
    """Returns the JSON name of the type of a value."""
    if value is None:
        return 'null'
    names = {
        bool: 'boolean',
        int: 'integer',
        float: 'number',
        str: 'string',
        list: 'array',
        dict: 'object',
    }
    return names.get(type(value), type(value).__name__)
