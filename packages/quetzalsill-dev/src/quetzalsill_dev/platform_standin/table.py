"""Rows with versions, changed by conditional transactions."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ['Condition', 'ConflictError', 'KeyedRow', 'Row', 'Rows', 'Write']

DEFAULT_LIMIT = 1000


@dataclasses.dataclass(slots=True)
class Condition:
    """A row that must stand at a version; 0 if it must be absent."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(slots=True)
class Write:
    """A value for a row; None deletes it."""

    table: str
    key: str
    value: Any


@dataclasses.dataclass(slots=True)
class Row:
    """A value and its version."""

    version: int
    value: Any


@dataclasses.dataclass(slots=True)
class KeyedRow:
    """A row with its key, as a scan gives it."""

    key: str
    version: int
    value: Any


class ConflictError(Exception):
    """A condition does not hold.

    Attributes:
      failed: Index of the condition.
      version: Version of the row now; 0 if absent.
      value: Value of the row now.
    """

    def __init__(self, failed: int, version: int, value: Any) -> None:
        super().__init__(f'condition {failed} found version {version}')
        self.failed = failed
        self.version = version
        self.value = value


class Rows:
    """All rows of all tables.

    A row that is deleted and made again starts at version 1. A platform may
    well behave so, and clients must not depend on the contrary.
    """

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, Row]] = {}

    def get(self, table: str, key: str) -> Row | None:
        """Gives a row, or None."""
        return self._tables.get(table, {}).get(key)

    def scan(
        self,
        table: str,
        prefix: str = '',
        after: str = '',
        limit: int = DEFAULT_LIMIT,
    ) -> list[KeyedRow]:
        """Gives rows in order of key, from behind `after` on."""
        rows = self._tables.get(table, {})
        keys = sorted(k for k in rows if k.startswith(prefix) and k > after)
        return [
            KeyedRow(key, rows[key].version, rows[key].value)
            for key in keys[:limit]
        ]

    def transact(
        self, conditions: Iterable[Condition], writes: Iterable[Write]
    ) -> list[int]:
        """Applies all writes if all conditions hold, else none.

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
