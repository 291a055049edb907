"""Stand-in of the platform's store: rows in tables, watches and faults."""

from __future__ import annotations

import asyncio
import base64
import json
import time
import urllib.parse
from typing import TYPE_CHECKING, Any

from quetzalsill_dev.users_platform import ledger, scripted

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

__all__ = ['ERA_FAULTS', 'ERA_HEADER', 'Store']

MOST_ROWS = 500
ERA_HEADER = 'Store-Era'
# What a faulty store says in place of its era; None leaves the header out.
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
    """Keeps rows in memory.

    Attributes:
      down: Empty while it serves; `busy` answers 503, `silent` nothing,
        `reset` breaks connections off.
      era: Told in every answer, one more with each return from a copy; None
        for a store that tells none.
      era_fault: Name of what is told in its place; empty for none.
      always_gone: Each watch gets 410, whatever it asks for.
      cuts_watches: Breaks off the watches that wait as it comes back from a
        copy; it answers them from what it holds then otherwise.
      calls: Calls received, by path.
    """

    def __init__(self) -> None:
        self.server = scripted.ScriptedServer(self._handle)
        self.down = ''
        self.era: int | None = None
        self.era_fault = ''
        self.always_gone = False
        self.cuts_watches = False
        self.calls: dict[str, int] = {}
        self._ledger = ledger.Ledger()
        self._changed = asyncio.Event()
        self._returns = 0
        self._is_away = False

    @property
    def version(self) -> int:
        """Version of the newest transaction."""
        return self._ledger.version

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row as JSON."""
        self._note(table, key, json.dumps(value).encode())

    def remove(self, table: str, key: str) -> None:
        """Drops a row."""
        self._note(table, key, None)

    def lose_history(self) -> None:
        """Forgets what changed, so that watches from before get 410."""
        self._ledger.forget()
        self._wake()

    def snapshot(self) -> ledger.Copy:
        """Returns a copy of all that is held."""
        return self._ledger.copy()

    async def restore(
        self,
        copy: ledger.Copy,
        rng: random.Random,
        *,
        down: str = 'busy',
        away_s: float = 0.3,
        rewrite_s: float = 1.0,
        at_once: float = 0.0,
        skipped: int = 0,
    ) -> None:
        """Is away, comes back from a copy, and is told again what it lost.

        Operators and servers write and drop their rows again, each at a time
        of its own, so that versions are given out again in another order.
        What they write while it is away reaches it like that, too. Nobody
        writes again for the system's own tables.

        Args:
          copy: What it comes back with.
          rng: Draws order and times of what is written again.
          down: How it is away.
          away_s: For how long, in seconds.
          rewrite_s: Time until all is written again, in seconds.
          at_once: Share of what is written again before it answers anybody.
          skipped: Versions that transactions elsewhere use up then.
        """
        self.down = down
        self._is_away = True
        await asyncio.sleep(away_s)
        self.come_back(copy)
        self._is_away = False
        self.down = ''
        places = list(self._ledger.lost())
        rng.shuffle(places)
        times = sorted(
            0.0 if rng.random() < at_once else rng.uniform(0.0, rewrite_s)
            for _ in places
        )
        at_times = dict(zip(places, times, strict=True))
        await self._write_again(at_times, skipped)

    def come_back(self, copy: ledger.Copy) -> None:
        """Holds what a copy holds, under the next era."""
        self._ledger.go_back(copy)
        self._returns += 1
        if self.era is not None:
            self.era += 1
        self._wake()

    def skip(self, count: int) -> None:
        """Uses versions up, as transactions elsewhere do."""
        self._ledger.skip(count)

    async def _write_again(
        self, times: dict[ledger.Place, float], skipped: int
    ) -> None:
        begun_s = time.monotonic()
        for place in [place for place, at_s in times.items() if not at_s]:
            self._write_lost(place)
        self.skip(skipped)
        for place, at_s in times.items():
            if at_s:
                delay_s = begun_s + at_s - time.monotonic()
                await asyncio.sleep(max(0.0, delay_s))
                self._write_lost(place)

    def _write_lost(self, place: ledger.Place) -> None:
        # Written meanwhile, or lost again, in a return that overlaps.
        lost = self._ledger.lost()
        if place in lost:
            self._note(*place, lost[place])

    def _note(self, table: str, key: str, value: bytes | None) -> None:
        if self._is_away:
            self._ledger.intend((table, key), value)
            return
        self._ledger.write({(table, key): value})
        self._wake()

    def _wake(self) -> None:
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
        limit = min(MOST_ROWS, int(query.get('limit', MOST_ROWS)))
        rows = self._ledger.table(query['table'], query.get('from', ''))
        self._answer(call, 200, rows[:limit], truncated=len(rows) > limit)

    def _write(self, call: scripted.Exchange) -> None:
        order = json.loads(call.body)
        values = {_place(row): None for row in order.get('remove', ())}
        for row in order.get('writes', ()):
            values[_place(row)] = base64.b64decode(row['value'])
        if any(table in ledger.OPERATED for table, _ in values):
            self._reply(call, 403)
            return
        expected = {
            _place(row): row['ver'] for row in order.get('expectedRevision', ())
        }
        held = {place: self._ledger.get(place) for place in expected}
        if any(
            (found.version if found else 0) != expected[place]
            for place, found in held.items()
        ):
            self._answer(call, 412, [row for row in held.values() if row])
            return
        self._ledger.write(values)
        self._wake()
        self._answer(call, 200, [])

    async def _feed(
        self, call: scripted.Exchange, query: dict[str, str]
    ) -> None:
        after = int(query['after'])
        end = time.monotonic() + int(query['waitMs']) / 1000
        returns = self._returns
        while True:
            if self.cuts_watches and returns != self._returns:
                call.abort()
                return
            if self._is_gone(after):
                self._reply(call, 410)
                return
            rows = self._ledger.since(query['table'], after)
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
        self._answer(call, 200, rows)

    def _is_gone(self, after: int) -> bool:
        """Whether a watch from a version cannot be told what came behind it."""
        # A store without eras never goes back: such a version was never its
        # own, and the watch waits until it is.
        is_ahead = self.era is not None and after > self.version
        return self.always_gone or is_ahead or after < self._ledger.oldest

    def _answer(
        self,
        call: scripted.Exchange,
        status: int,
        rows: list[ledger.Change],
        *,
        truncated: bool = False,
    ) -> None:
        body = {
            'rows': [row.plain() for row in rows],
            'truncated': truncated,
            'ver': self.version,
            'nowMs': int(time.monotonic() * 1000),
        }
        self._reply(call, status, json.dumps(body).encode())

    def _reply(
        self, call: scripted.Exchange, status: int, body: bytes = b''
    ) -> None:
        """Answers, with the era where one is told."""
        call.answer(status, body, self._era_header())

    def _era_header(self) -> dict[str, str]:
        if self.era is None:
            return {}
        fault = ERA_FAULTS.get(self.era_fault, str)
        told = fault(self.era)
        return {} if told is None else {ERA_HEADER: told}


def _place(row: dict[str, Any]) -> ledger.Place:
    return row['table'], row['key']
