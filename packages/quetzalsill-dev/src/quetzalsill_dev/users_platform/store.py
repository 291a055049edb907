"""Stand-in of the platform's store: rows in tables, watches and faults."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import time
import urllib.parse
from typing import Any

from quetzalsill_dev.users_platform import scripted

__all__ = ['Store']

MOST_ROWS = 500
# Tables that the system must not write.
OPERATED = ('op', 'servers')


@dataclasses.dataclass(slots=True)
class _Change:
    version: int
    table: str
    key: str
    value: bytes | None

    def plain(self) -> dict[str, Any]:
        row = {'table': self.table, 'part': '', 'key': self.key}
        row['ver'] = self.version
        if self.value is None:
            return row | {'tombstone': True}
        return row | {'value': base64.b64encode(self.value).decode()}


class Store:
    """Keeps rows in memory.

    Attributes:
      down: Empty while it serves; `busy` answers 503, `silent` nothing.
      calls: Calls received, by path.
    """

    def __init__(self) -> None:
        self.server = scripted.ScriptedServer(self._handle)
        self.down = ''
        self.calls: dict[str, int] = {}
        self._version = 0
        self._rows: dict[tuple[str, str], _Change] = {}
        self._changes: list[_Change] = []
        self._oldest = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row as JSON."""
        self._note(table, key, json.dumps(value).encode())

    def remove(self, table: str, key: str) -> None:
        """Drops a row."""
        self._note(table, key, None)

    def lose_history(self) -> None:
        """Forgets what changed, so that watches from before get 410."""
        self._changes.clear()
        self._oldest = self._version
        self._wake()

    def _note(self, table: str, key: str, value: bytes | None) -> None:
        self._version += 1
        change = _Change(self._version, table, key, value)
        self._changes.append(change)
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = change
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, call: scripted.Exchange) -> None:
        self.calls[call.path] = self.calls.get(call.path, 0) + 1
        if self.down == 'busy':
            call.answer(503)
            return
        if self.down:
            await asyncio.Event().wait()
        query = dict(urllib.parse.parse_qsl(call.target.partition('?')[2]))
        if call.path == '/-/rows-get':
            self._get(call, query)
        elif call.path == '/-/rows-feed':
            await self._feed(call, query)
        elif call.path == '/-/rows-tx':
            self._write(call)
        else:
            call.answer(404)

    def _get(self, call: scripted.Exchange, query: dict[str, str]) -> None:
        limit = min(MOST_ROWS, int(query.get('limit', MOST_ROWS)))
        keys = sorted(
            key
            for table, key in self._rows
            if table == query['table'] and key >= query.get('from', '')
        )
        rows = [self._rows[query['table'], key] for key in keys[:limit]]
        self._answer(call, rows, truncated=len(keys) > limit)

    def _write(self, call: scripted.Exchange) -> None:
        order = json.loads(call.body)
        rows = [(row['table'], row['key']) for row in order['writes']]
        if any(table in OPERATED for table, _ in rows):
            call.answer(403)
            return
        for row in order['writes']:
            value = base64.b64decode(row['value'])
            self._note(row['table'], row['key'], value)
        self._answer(call, [])

    async def _feed(
        self, call: scripted.Exchange, query: dict[str, str]
    ) -> None:
        after = int(query['after'])
        end = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            if after < self._oldest:
                call.answer(410)
                return
            rows = [
                change
                for change in self._changes
                if change.version > after and change.table == query['table']
            ]
            left_s = end - time.monotonic()
            if rows or left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        if self.down:
            await asyncio.Event().wait()
        self._answer(call, rows)

    def _answer(
        self,
        call: scripted.Exchange,
        rows: list[_Change],
        *,
        truncated: bool = False,
    ) -> None:
        body = {
            'rows': [row.plain() for row in rows],
            'truncated': truncated,
            'ver': self._version,
            'nowMs': int(time.monotonic() * 1000),
        }
        call.answer(200, json.dumps(body).encode())
