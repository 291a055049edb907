"""Stand-in of the platform's store: tables of rows, watches and faults."""

from __future__ import annotations

import asyncio
import base64
import json
import time
import urllib.parse
from typing import TYPE_CHECKING, Any

from quetzalsill_dev.users_platform import scripted, versioned_rows

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

__all__ = ['ERA_FAULTS', 'ERA_HEADER', 'Store']

MAX_ROWS = 500
ERA_HEADER = 'Store-Era'
# Faulty values of the era header; None omits the header.
ERA_FAULTS: dict[str, Callable[[int], str | None]] = {
    'absent': lambda _: None,
    'text': lambda era: f'era {era}',
    'fraction': lambda era: f'{era}.5',
    'negative': lambda era: f'-{era}',
    'falls': lambda era: str(era - 1),
    'jumps': lambda era: str(era + 7),
    'huge': lambda _: '9' * 400,
}


class Store:
    """A store that keeps its rows in memory.

    Attributes:
      down: Empty while it serves; with `busy` it responds 503, with `silent`
        it doesn't respond, with `reset` it resets connections.
      era: Sent in each response and incremented each time a snapshot is
        restored; None for a store that doesn't send it.
      era_fault: Key in `ERA_FAULTS` of the value sent instead; empty for none.
      always_gone: Whether each watch gets a 410, whatever its version.
      resets_watches: Whether pending watches are reset when a snapshot is
        restored. Otherwise they get a response from the restored rows.
      refused_tables: Tables to which writes get a 503.
      calls: Number of received calls, by path.
    """

    def __init__(self) -> None:
        self.server = scripted.ScriptedServer(self._handle)
        self.down = ''
        self.era: int | None = None
        self.era_fault = ''
        self.always_gone = False
        self.resets_watches = False
        self.refused_tables: set[str] = set()
        self.calls: dict[str, int] = {}
        self._rows = versioned_rows.VersionedRows()
        self._changed = asyncio.Event()
        self._restores = 0
        self._in_outage = False

    @property
    def version(self) -> int:
        """Version of the newest transaction."""
        return self._rows.version

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row, encoded as JSON."""
        self._put_row(table, key, json.dumps(value).encode())

    def rows(self, table: str) -> list[Any]:
        """Returns the rows of a table."""
        return list(self._rows.table(table, ''))

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self._put_row(table, key, None)

    def compact(self) -> None:
        """Drops the history, so that watches from older versions get a 410."""
        self._rows.compact()
        self._notify_watches()

    def snapshot(self) -> versioned_rows.Snapshot:
        """Returns a snapshot of all rows and their history."""
        return self._rows.snapshot()

    async def restore(
        self,
        snapshot: versioned_rows.Snapshot,
        rng: random.Random,
        *,
        down: str = 'busy',
        outage_s: float = 0.3,
        rewrite_s: float = 1.0,
        immediate_share: float = 0.0,
        skipped_versions: int = 0,
    ) -> None:
        """Simulates an outage and a restore from a snapshot.

        Operators and servers then write and remove their rows again, each at
        a different time, so that versions are reused in another order. This
        includes what they tried to write during the outage. Rows of the
        system's own tables are not rewritten.

        Args:
          snapshot: Rows and history after the outage.
          rng: Draws the order and times of the rewrites.
          down: Value of `down` during the outage.
          outage_s: Duration of the outage, in seconds.
          rewrite_s: Time until all rows are rewritten, in seconds.
          immediate_share: Share of rows that are rewritten before the first
            call is served.
          skipped_versions: Number of versions that other transactions use
            after the immediate rewrites.
        """
        self.down = down
        self._in_outage = True
        await asyncio.sleep(outage_s)
        self.load_snapshot(snapshot)
        self._in_outage = False
        self.down = ''
        keys = list(self._rows.missing())
        rng.shuffle(keys)
        times = sorted(
            0.0
            if rng.random() < immediate_share
            else rng.uniform(0.0, rewrite_s)
            for _ in keys
        )
        at_times = dict(zip(keys, times, strict=True))
        await self._rewrite_missing(at_times, skipped_versions)

    def load_snapshot(self, snapshot: versioned_rows.Snapshot) -> None:
        """Restores a snapshot and increments the era."""
        self._rows.restore(snapshot)
        self._restores += 1
        if self.era is not None:
            self.era += 1
        self._notify_watches()

    def skip(self, count: int) -> None:
        """Advances the version, as transactions in other tables do."""
        self._rows.skip(count)

    async def _rewrite_missing(
        self, times: dict[versioned_rows.RowKey, float], skipped_versions: int
    ) -> None:
        started_s = time.monotonic()
        for key in [key for key, at_s in times.items() if not at_s]:
            self._rewrite_row(key)
        self.skip(skipped_versions)
        for key, at_s in times.items():
            if at_s:
                delay_s = started_s + at_s - time.monotonic()
                await asyncio.sleep(max(0.0, delay_s))
                self._rewrite_row(key)

    def _rewrite_row(self, key: versioned_rows.RowKey) -> None:
        # With overlapping restores the row may have been rewritten, or lost
        # again, since the times were drawn.
        lost = self._rows.missing()
        if key in lost:
            self._put_row(*key, lost[key])

    def _put_row(self, table: str, key: str, value: bytes | None) -> None:
        if self._in_outage:
            self._rows.set_intended((table, key), value)
            return
        self._rows.write({(table, key): value})
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, call: scripted.Exchange) -> None:
        self.calls[call.path] = self.calls.get(call.path, 0) + 1
        if self.down == 'busy':
            self._reply(call, 503)
            return
        if self.down == 'reset':
            call.abort()
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
            self._reply(call, 404)

    def _get(self, call: scripted.Exchange, query: dict[str, str]) -> None:
        limit = min(MAX_ROWS, int(query.get('limit', MAX_ROWS)))
        rows = self._rows.table(query['table'], query.get('from', ''))
        self._send_rows(call, 200, rows[:limit], truncated=len(rows) > limit)

    def _write(self, call: scripted.Exchange) -> None:
        transaction = json.loads(call.body)
        values = {_row_key(row): None for row in transaction.get('remove', ())}
        for row in transaction.get('writes', ()):
            values[_row_key(row)] = base64.b64decode(row['value'])
        if any(table in versioned_rows.EXTERNAL_TABLES for table, _ in values):
            self._reply(call, 403)
            return
        if any(table in self.refused_tables for table, _ in values):
            self._reply(call, 503)
            return
        expected = {
            _row_key(row): row['ver']
            for row in transaction.get('expectedRevision', ())
        }
        held = {key: self._rows.get(key) for key in expected}
        if any(
            (found.version if found else 0) != expected[key]
            for key, found in held.items()
        ):
            self._send_rows(call, 412, [row for row in held.values() if row])
            return
        self._rows.write(values)
        self._notify_watches()
        self._send_rows(call, 200, [])

    async def _feed(
        self, call: scripted.Exchange, query: dict[str, str]
    ) -> None:
        after = int(query['after'])
        end = time.monotonic() + int(query['waitMs']) / 1000
        restores = self._restores
        while True:
            if self.resets_watches and restores != self._restores:
                call.abort()
                return
            if self._is_compacted(after):
                self._reply(call, 410)
                return
            rows = self._rows.since(query['table'], after)
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
        self._send_rows(call, 200, rows)

    def _is_compacted(self, after: int) -> bool:
        """Whether the changes after a version are unavailable to a watch."""
        # Without eras the version never decreases: a higher one was not issued
        # by this store, and the watch waits until it is reached.
        is_ahead = self.era is not None and after > self.version
        return self.always_gone or is_ahead or after < self._rows.oldest

    def _send_rows(
        self,
        call: scripted.Exchange,
        status: int,
        rows: list[versioned_rows.Change],
        *,
        truncated: bool = False,
    ) -> None:
        body = {
            'rows': [row.to_json() for row in rows],
            'truncated': truncated,
            'ver': self.version,
            'nowMs': int(time.monotonic() * 1000),
        }
        self._reply(call, status, json.dumps(body).encode())

    def _reply(
        self, call: scripted.Exchange, status: int, body: bytes = b''
    ) -> None:
        """Responds, with the era header if there is one."""
        call.respond(status, body, self._era_header())

    def _era_header(self) -> dict[str, str]:
        if self.era is None:
            return {}
        fault = ERA_FAULTS.get(self.era_fault, str)
        value = fault(self.era)
        return {} if value is None else {ERA_HEADER: value}


def _row_key(row: dict[str, Any]) -> versioned_rows.RowKey:
    return row['table'], row['key']
