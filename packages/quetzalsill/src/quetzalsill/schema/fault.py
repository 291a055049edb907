"""Collection of the faults of one document while it is checked."""

from __future__ import annotations

import dataclasses
import difflib
import reprlib
from typing import TYPE_CHECKING, Any

from quetzalsill.schema import error

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill.schema import key

__all__ = ['MAX_FAULTS', 'Faults']

MAX_FAULTS = 100
SHOWN_CHARACTERS = 60

_repr = reprlib.Repr()
_repr.maxstring = SHOWN_CHARACTERS
_repr.maxother = SHOWN_CHARACTERS
_repr.maxlong = SHOWN_CHARACTERS


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults found so far, up to `MAX_FAULTS`.

    Attributes:
      where: File or other origin of the document.
      found: The faults in the order of their finding.
    """

    where: str
    found: list[error.InvalidKeyError] = dataclasses.field(default_factory=list)

    def add(
        self, path: str, found: str, allowed: str, advice: str = ''
    ) -> None:
        """Notes one fault."""
        if len(self.found) < MAX_FAULTS:
            fault = error.InvalidKeyError(
                self.where, path, found, allowed, advice
            )
            self.found.append(fault)

    def add_value(
        self, path: str, value: Any, allowed: str, spec: key.KeySpec
    ) -> None:
        """Notes a value that does not fit, masked if it is secret."""
        shown = f'{type_name(value)} (masked)' if spec.secret else show(value)
        self.add(path, shown, allowed)

    def add_unknown(self, path: str, name: str, known: Iterable[str]) -> None:
        """Notes an unknown key with the nearest known one."""
        if len(self.found) >= MAX_FAULTS:
            return
        names = list(known)
        near = difflib.get_close_matches(name, names, n=1)
        advice = f'Did you mean {near[0]!r}?' if near else ''
        self.add(path, 'an unknown key', ', '.join(names), advice)

    def raise_if_any(self) -> None:
        """Raises `InvalidDocumentError` if there is a fault."""
        if self.found:
            raise error.InvalidDocumentError(self.where, self.found)


def show(value: Any) -> str:
    """Shows a value with its type, shortened."""
    return f'{type_name(value)} {_repr.repr(value)}'


def type_name(value: Any) -> str:
    """Names the type of a value as readers of JSON know it."""
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
