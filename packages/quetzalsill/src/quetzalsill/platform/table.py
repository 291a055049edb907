"""Client of the platform's transactional table."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import urllib.parse
from typing import TYPE_CHECKING, Any

from blacksheep import contents

from quetzalsill.platform import error, exchange

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

__all__ = ['Condition', 'KeyedRow', 'Row', 'Table', 'Write']

SCAN_PAGE_ROWS = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class Condition:
    """Requires a row to have this version; 0 requires it to be absent."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """A JSON value for a row; None deletes the row."""

    table: str
    key: str
    value: Any


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A JSON value and its version, which increases with each write."""

    version: int
    value: Any


@dataclasses.dataclass(slots=True, frozen=True)
class KeyedRow:
    """A row with its key."""

    key: str
    version: int
    value: Any


class Table:
    """Reads rows and changes them in transactions.

    A row that is deleted and created again may restart at version 1, so a
    condition cannot distinguish the two. Never delete a row that several
    writers contend for; mark it as free instead.
    """

    def __init__(self, http: exchange.Exchange) -> None:
        self._http = http

    async def get(self, table: str, key: str) -> Row | None:
        """Reads one row; None if it is absent.

        Raises:
          PlatformUnavailableError: The store does not respond.
          PlatformProtocolError: The response is malformed.
        """
        reply = await self._http.read(
            f'/table/{exchange.quote(table)}/{exchange.quote(key)}'
        )
        if reply.status == 404:
            return None
        return _row(reply.json(200))

    async def scan(self, table: str, prefix: str = '') -> list[KeyedRow]:
        """Reads all rows whose keys start with `prefix`, sorted by key.

        Raises:
          PlatformUnavailableError: The store does not respond.
          PlatformProtocolError: The response is malformed.
        """
        rows: list[KeyedRow] = []
        while True:
            after = rows[-1].key if rows else ''
            page = await self.page(table, prefix, after, SCAN_PAGE_ROWS)
            rows += page
            if len(page) < SCAN_PAGE_ROWS:
                return rows

    async def page(
        self, table: str, prefix: str, after: str, limit: int
    ) -> list[KeyedRow]:
        """Reads at most `limit` rows whose keys sort after `after`.

        Raises:
          PlatformUnavailableError: The store does not respond.
          PlatformProtocolError: The response is malformed.
        """
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit}
        )
        reply = await self._http.read(f'/table/{exchange.quote(table)}?{query}')
        return _keyed_rows(reply.json(200))

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> list[int]:
        """Applies all writes if all conditions hold, otherwise none.

        Returns:
          The new version of each written row.

        Raises:
          ConditionFailedError: A condition does not hold; nothing was written.
          PlatformUnavailableError: Nothing was written.
          PlatformAnswerLostError: All writes may have been applied or may be
            later; a condition on a version makes a retry safe.
          PlatformProtocolError: The store rejected the transaction.
        """
        reply = await self._http.write(
            'POST', '/table/transact', _transaction(conditions, writes)
        )
        if reply.status == 409:
            raise _failed_condition(reply.json(409))
        if 400 <= reply.status < 500:
            raise error.PlatformProtocolError(f'status {reply.status}')
        try:
            return list(reply.json(200)['versions'])
        except (error.PlatformProtocolError, KeyError, TypeError) as exc:
            raise error.PlatformAnswerLostError('malformed answer') from exc


def _transaction(
    conditions: Sequence[Condition], writes: Sequence[Write]
) -> contents.Content:
    plain = {
        'conditions': [
            {'table': c.table, 'key': c.key, 'version': c.version}
            for c in conditions
        ],
        'writes': [
            {'table': w.table, 'key': w.key, 'value': w.value} for w in writes
        ],
    }
    data = json.dumps(plain, separators=(',', ':')).encode()
    return contents.Content(b'application/json', data)


def _row(plain: Any) -> Row:
    with _require_fields():
        return Row(plain['version'], plain['value'])


def _keyed_rows(plain: Any) -> list[KeyedRow]:
    with _require_fields():
        return [
            KeyedRow(row['key'], row['version'], row['value'])
            for row in plain['rows']
        ]


def _failed_condition(plain: Any) -> error.ConditionFailedError:
    with _require_fields():
        return error.ConditionFailedError(
            plain['failed'], plain['version'], plain['value']
        )


@contextlib.contextmanager
def _require_fields() -> Iterator[None]:
    try:
        yield
    except (KeyError, TypeError) as exc:
        raise error.PlatformProtocolError(f'answer lacks {exc}') from exc
