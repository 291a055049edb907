"""Rows of the store's stand-in, their history, and copies of both."""

from __future__ import annotations

import base64
import dataclasses
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ['EXTERNAL_TABLES', 'Change', 'RowKey', 'Snapshot', 'VersionedRows']

# Tables that only operators and servers write.
EXTERNAL_TABLES = ('op', 'servers')
# Table and key of a row.
RowKey = tuple[str, str]


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

    def to_json(self) -> dict[str, Any]:
        """Returns the row as answers carry it."""
        row = {'table': self.table, 'part': '', 'key': self.key}
        row['ver'] = self.version
        if self.value is None:
            return row | {'tombstone': True}
        return row | {'value': base64.b64encode(self.value).decode()}


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """All that a ledger held at one moment."""

    version: int
    oldest: int
    rows: dict[RowKey, Change]
    changes: tuple[Change, ...]


class VersionedRows:
    """Rows under one counter of versions.

    Attributes:
      version: Version of the newest transaction.
      oldest: Version up to which history has been forgotten.
    """

    def __init__(self) -> None:
        self.version = 0
        self.oldest = 0
        self._rows: dict[RowKey, Change] = {}
        self._changes: list[Change] = []
        # What operators and servers wrote last; it outlives a copy, as they do.
        self._intended: dict[RowKey, bytes | None] = {}

    def write(self, values: Mapping[RowKey, bytes | None]) -> None:
        """Writes and drops rows in one transaction."""
        self.version += 1
        for key, value in values.items():
            change = Change(self.version, *key, value)
            self._changes.append(change)
            if value is None:
                self._rows.pop(key, None)
            else:
                self._rows[key] = change
            if key[0] in EXTERNAL_TABLES:
                self._intended[key] = value

    def set_intended(self, key: RowKey, value: bytes | None) -> None:
        """Notes what its writer could not write; it is lost until then."""
        self._intended[key] = value

    def skip(self, count: int) -> None:
        """Uses versions up, as transactions in other tables do."""
        self.version += count

    def compact(self) -> None:
        """Drops the history, and keeps the rows."""
        self._changes.clear()
        self.oldest = self.version

    def get(self, key: RowKey) -> Change | None:
        """Returns a row, None if there is none."""
        return self._rows.get(key)

    def table(self, name: str, first: str = '') -> list[Change]:
        """Returns the rows of a table from a key on, in order of keys."""
        keys = sorted(key for key in self._rows if key[0] == name)
        return [self._rows[key] for key in keys if key[1] >= first]

    def since(self, name: str, after: int) -> list[Change]:
        """Returns what changed in a table behind a version, in order."""
        return [
            change
            for change in self._changes
            if change.version > after and change.table == name
        ]

    def snapshot(self) -> Snapshot:
        """Returns a copy of all rows and their history."""
        return Snapshot(
            self.version, self.oldest, dict(self._rows), tuple(self._changes)
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Holds what a copy holds, and gives its next versions out again."""
        self.version, self.oldest = snapshot.version, snapshot.oldest
        self._rows = dict(snapshot.rows)
        self._changes = list(snapshot.changes)

    def missing(self) -> dict[RowKey, bytes | None]:
        """Returns what operators and servers wrote that is not held."""
        return {
            key: self._intended[key]
            for key in sorted(self._intended)
            if self._intended[key] != self._value(key)
        }

    def _value(self, key: RowKey) -> bytes | None:
        held = self._rows.get(key)
        return held.value if held else None
