"""A stand-in of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import json
import time
import urllib.parse
from typing import Any

import standin_http as http

__all__ = ['Store']

ANSWER_S = 0.004
OWN_TABLES = ('op', 'servers')
Row = dict[str, Any]


class Store:
    """Keeps rows with their versions, and all of its history."""

    def __init__(self) -> None:
        self.server = http.Server(self._handle)
        self._version = 0
        self._rows: dict[tuple[str, str, str], Row] = {}
        self._history: list[Row] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row as the operator or a server does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([(table, '', key, text)])

    def remove(self, table: str, key: str) -> None:
        """Removes a row as the operator or the platform does."""
        self._apply([(table, '', key, None)])

    def _apply(self, writes: list[tuple[str, str, str, str | None]]) -> None:
        self._version += 1
        for table, part, key, text in writes:
            row: Row = {'table': table, 'part': part, 'key': key}
            row['ver'] = self._version
            if text is None:
                row['tombstone'] = True
                self._rows.pop((table, part, key), None)
            else:
                row['value'] = text
                self._rows[table, part, key] = row
            self._history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, call: http.Exchange) -> None:
        await asyncio.sleep(ANSWER_S)
        path, _, query_text = call.target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        if path == '/-/rows-get':
            rows = [
                row
                for _, row in sorted(self._rows.items())
                if row['table'] == query['table']
                and row['part'] == query.get('part', '')
                and row['key'] >= query.get('from', '')
            ]
            limit = min(500, int(query.get('limit', 500)))
            self._answer(call, 200, rows[:limit], len(rows) > limit)
        elif path == '/-/rows-feed':
            await self._feed(call, query)
        elif path == '/-/rows-tx':
            self._transact(call)
        else:
            self._answer(call, 404, [])

    async def _feed(self, call: http.Exchange, query: dict[str, str]) -> None:
        end_s = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            rows = [
                row
                for row in self._history
                if row['table'] == query['table']
                and row['ver'] > int(query['after'])
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
        self._answer(call, 200, rows)

    def _transact(self, call: http.Exchange) -> None:
        body = json.loads(call.body)
        entries = [*body.get('writes', ()), *body.get('remove', ())]
        if any(entry['table'] in OWN_TABLES for entry in entries):
            self._answer(call, 403, [])
            return
        held = []
        for row in body.get('expectedRevision', ()):
            found = self._rows.get((row['table'], row['part'], row['key']))
            held.append((found, row['ver']))
        if any((row['ver'] if row else 0) != ver for row, ver in held):
            self._answer(call, 412, [row for row, _ in held if row])
            return
        self._apply(
            [
                (row['table'], row['part'], row['key'], row.get('value'))
                for row in entries
            ]
        )
        self._answer(call, 200, [])

    def _answer(
        self,
        call: http.Exchange,
        status: int,
        rows: list[Row],
        truncated: bool = False,
    ) -> None:
        body = {
            'rows': rows,
            'truncated': truncated,
            'ver': self._version,
            'nowMs': int(time.monotonic() * 1000),
        }
        headers = {'Content-Type': 'application/json', 'Store-Era': '1'}
        call.respond(status, json.dumps(body).encode(), headers)
