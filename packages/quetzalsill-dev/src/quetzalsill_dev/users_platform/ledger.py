"""Rows of the store's stand-in, their history, and copies of both."""

from __future__ import annotations

import base64
import dataclasses
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ['OPERATED', 'Change', 'Copy', 'Ledger', 'Place']

# Tables that only operators and servers write.
OPERATED = ('op', 'servers')
# Table and key of a row.
Place = tuple[str, str]


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A row as it was written or dropped.

    Attributes:
      version: Version of the transaction that did it.
      table: Its table.
      key: Its key.
      value: What was written; None if it was dropped.
    """

    version: int
    table: str
    key: str
    value: bytes | None

    def plain(self) -> dict[str, Any]:
        """Returns the row as answers carry it."""
        row = {'table': self.table, 'part': '', 'key': self.key}
        row['ver'] = self.version
        if self.value is None:
            return row | {'tombstone': True}
        return row | {'value': base64.b64encode(self.value).decode()}


@dataclasses.dataclass(slots=True, frozen=True)
class Copy:
    """All that a ledger held at one moment."""

    version: int
    oldest: int
    rows: dict[Place, Change]
    changes: tuple[Change, ...]


class Ledger:
    """Rows under one counter of versions.

    Attributes:
      version: Version of the newest transaction.
      oldest: Version up to which history has been forgotten.
    """

    def __init__(self) -> None:
        self.version = 0
        self.oldest = 0
        self._rows: dict[Place, Change] = {}
        self._changes: list[Change] = []
        # What operators and servers wrote last; it outlives a copy, as they do.
        self._intended: dict[Place, bytes | None] = {}

    def write(self, values: Mapping[Place, bytes | None]) -> None:
        """Writes and drops rows in one transaction."""
        self.version += 1
        for place, value in values.items():
            change = Change(self.version, *place, value)
            self._changes.append(change)
            if value is None:
                self._rows.pop(place, None)
            else:
                self._rows[place] = change
            if place[0] in OPERATED:
                self._intended[place] = value

    def intend(self, place: Place, value: bytes | None) -> None:
        """Notes what its writer could not write; it is lost until then."""
        self._intended[place] = value

    def skip(self, count: int) -> None:
        """Uses versions up, as transactions in other tables do."""
        self.version += count

    def forget(self) -> None:
        """Drops the history, and keeps the rows."""
        self._changes.clear()
        self.oldest = self.version

    def get(self, place: Place) -> Change | None:
        """Returns a row, None if there is none."""
        return self._rows.get(place)

    def table(self, name: str, first: str = '') -> list[Change]:
        """Returns the rows of a table from a key on, in order of keys."""
        places = sorted(place for place in self._rows if place[0] == name)
        return [self._rows[place] for place in places if place[1] >= first]

    def since(self, name: str, after: int) -> list[Change]:
        """Returns what changed in a table behind a version, in order."""
        return [
            change
            for change in self._changes
            if change.version > after and change.table == name
        ]

    def copy(self) -> Copy:
        """Returns a copy of all rows and their history."""
        return Copy(
            self.version, self.oldest, dict(self._rows), tuple(self._changes)
        )

    def go_back(self, copy: Copy) -> None:
        """Holds what a copy holds, and gives its next versions out again."""
        self.version, self.oldest = copy.version, copy.oldest
        self._rows = dict(copy.rows)
        self._changes = list(copy.changes)

    def lost(self) -> dict[Place, bytes | None]:
        """Returns what operators and servers wrote that is not held."""
        return {
            place: self._intended[place]
            for place in sorted(self._intended)
            if self._intended[place] != self._value(place)
        }

    def _value(self, place: Place) -> bytes | None:
        held = self._rows.get(place)
        return held.value if held else None
