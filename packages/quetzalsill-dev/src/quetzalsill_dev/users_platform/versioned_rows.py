"""Rows of the stand-in store, with history and snapshots."""

from __future__ import annotations

import base64
import dataclasses
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ['EXTERNAL_TABLES', 'Change', 'RowKey', 'Snapshot', 'VersionedRows']

# Tables that only operators and servers write to.
EXTERNAL_TABLES = ('op', 'servers')
# Table and key of a row.
RowKey = tuple[str, str]


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A write or removal of a row.

    Attributes:
      version: Version of the transaction.
      table: Table of the row.
      key: Key of the row.
      value: Written value; None if the row was removed.
    """

    version: int
    table: str
    key: str
    value: bytes | None

    def to_json(self) -> dict[str, Any]:
        """Returns the row as it is encoded in responses."""
        row = {'table': self.table, 'part': '', 'key': self.key}
        row['ver'] = self.version
        if self.value is None:
            return row | {'tombstone': True}
        return row | {'value': base64.b64encode(self.value).decode()}


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """Rows and history at one point in time."""

    version: int
    oldest: int
    rows: dict[RowKey, Change]
    changes: tuple[Change, ...]


class VersionedRows:
    """Rows of all tables, which share one version counter.

    Attributes:
      version: Version of the newest transaction.
      oldest: Version up to which the history has been compacted.
    """

    def __init__(self) -> None:
        self.version = 0
        self.oldest = 0
        self._rows: dict[RowKey, Change] = {}
        self._changes: list[Change] = []
        # Last values written by operators and servers. They keep these values
        # while the store is restored, and write them again.
        self._intended: dict[RowKey, bytes | None] = {}

    def write(self, values: Mapping[RowKey, bytes | None]) -> None:
        """Writes and removes rows in one transaction."""
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
        """Records a value that couldn't be written; it is then missing."""
        self._intended[key] = value

    def skip(self, count: int) -> None:
        """Advances the version, as transactions in other tables do."""
        self.version += count

    def compact(self) -> None:
        """Drops the history but keeps the rows."""
        self._changes.clear()
        self.oldest = self.version

    def get(self, key: RowKey) -> Change | None:
        """Returns a row, or None if it doesn't exist."""
        return self._rows.get(key)

    def table(self, name: str, first: str = '') -> list[Change]:
        """Returns the rows of a table, sorted by key, starting at `first`."""
        keys = sorted(key for key in self._rows if key[0] == name)
        return [self._rows[key] for key in keys if key[1] >= first]

    def since(self, name: str, after: int) -> list[Change]:
        """Returns the changes of a table after a version, in order."""
        return [
            change
            for change in self._changes
            if change.version > after and change.table == name
        ]

    def snapshot(self) -> Snapshot:
        """Returns a snapshot of all rows and their history."""
        return Snapshot(
            self.version, self.oldest, dict(self._rows), tuple(self._changes)
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Restores a snapshot; the versions after it are then used again."""
        self.version, self.oldest = snapshot.version, snapshot.oldest
        self._rows = dict(snapshot.rows)
        self._changes = list(snapshot.changes)

    def missing(self) -> dict[RowKey, bytes | None]:
        """Returns rows of operators and servers that need to be rewritten."""
        return {
            key: self._intended[key]
            for key in sorted(self._intended)
            if self._intended[key] != self._value(key)
        }

    def _value(self, key: RowKey) -> bytes | None:
        held = self._rows.get(key)
        return held.value if held else None
