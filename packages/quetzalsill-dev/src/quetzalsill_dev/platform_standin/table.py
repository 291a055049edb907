"""Versioned rows, which conditional transactions change."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ['Condition', 'ConflictError', 'KeyedRow', 'Row', 'Rows', 'Write']

DEFAULT_LIMIT = 1000


@dataclasses.dataclass(slots=True)
class Condition:
    """A required version of a row; 0 if the row must not exist."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(slots=True)
class Write:
    """A new value of a row; None deletes it."""

    table: str
    key: str
    value: Any


@dataclasses.dataclass(slots=True)
class Row:
    """Value and version of a row."""

    version: int
    value: Any


@dataclasses.dataclass(slots=True)
class KeyedRow:
    """A row with its key, as returned by a scan."""

    key: str
    version: int
    value: Any


class ConflictError(Exception):
    """A condition does not hold.

    Attributes:
      failed: Index of the condition.
      version: Current version of the row; 0 if it doesn't exist.
      value: Current value of the row.
    """

    def __init__(self, failed: int, version: int, value: Any) -> None:
        super().__init__(f'condition {failed} found version {version}')
        self.failed = failed
        self.version = version
        self.value = value


class Rows:
    """All rows of all tables.

    A row that is deleted and created again starts at version 1. Platforms may
    behave like this, so clients must not rely on increasing versions.
    """

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, Row]] = {}

    def get(self, table: str, key: str) -> Row | None:
        """Returns a row, or None if it doesn't exist."""
        return self._tables.get(table, {}).get(key)

    def scan(
        self,
        table: str,
        prefix: str = '',
        after: str = '',
        limit: int = DEFAULT_LIMIT,
    ) -> list[KeyedRow]:
        """Returns rows in order of their keys, starting after `after`."""
        rows = self._tables.get(table, {})
        keys = sorted(k for k in rows if k.startswith(prefix) and k > after)
        return [
            KeyedRow(key, rows[key].version, rows[key].value)
            for key in keys[:limit]
        ]

    def transact(
        self, conditions: Iterable[Condition], writes: Iterable[Write]
    ) -> list[int]:
        """Applies all writes if all conditions hold, otherwise none.

        Returns:
          The new version of each written row; 0 for a deleted one.

        Raises:
          ConflictError: A condition does not hold; nothing was written.
        """
        for index, condition in enumerate(conditions):
            row = self.get(condition.table, condition.key)
            version = row.version if row else 0
            if version != condition.version:
                raise ConflictError(index, version, row.value if row else None)
        return [self._apply(write) for write in writes]

    def _apply(self, write: Write) -> int:
        rows = self._tables.setdefault(write.table, {})
        if write.value is None:
            rows.pop(write.key, None)
            return 0
        old = rows.get(write.key)
        version = old.version + 1 if old else 1
        rows[write.key] = Row(version, write.value)
        return version
