"""Keeps quarantined requests while all gateways restart.

Gateways have no disk, and those that lose power at the same moment find nobody
who knows. So each entry is stored in the platform's store too, by a few
gateways only: all of them find a culprit at about the same time.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from quetzalsill_gateway import error, event
from quetzalsill_gateway.fleet import quota
from quetzalsill_gateway.quarantine import table, trait

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import members as members_lib
    from quetzalsill_gateway.quarantine import quarantine as quarantine_lib

__all__ = ['Persistence']

# Gateways that store an entry; one of them may be down.
WRITERS = 2
RETRY_S = 1.0
# A longer time comes from a faulty clock or writer.
MAX_TIME_S = 1e6
DECODE_ERRORS = (LookupError, TypeError, ValueError, AttributeError)


class Persistence:
    """Loads the stored entries, and stores those that change.

    Attributes:
      is_loaded: Whether the entries have been loaded.
    """

    def __init__(
        self,
        quarantine: quarantine_lib.Quarantine,
        members: members_lib.Members,
        load: Callable[[], Awaitable[list[Any]]],
        save: Callable[[str, Any], Awaitable[None]],
    ) -> None:
        """Creates it; the two loops do the work.

        Args:
          quarantine: Quarantine of this gateway.
          members: Gateways that may store an entry.
          load: Returns the stored rows.
          save: Stores a row under a key.
        """
        self._quarantine = quarantine
        self._members = members
        self._load = load
        self._save = save
        self._changed: asyncio.Queue[table.Entry] = asyncio.Queue()
        self.is_loaded = False
        self._is_due = asyncio.Event()
        self._is_due.set()
        quarantine.on_changed(self._changed.put_nowait)
        quarantine.on_crash(self._is_due.set)

    async def load_entries(self) -> None:
        """Loads entries at the start, and after crashes, until cancelled.

        A gateway that sees a crash may be cut off from the others, which know
        the culprit.
        """
        while True:
            await self._is_due.wait()
            self._is_due.clear()
            try:
                rows = await self._load()
            except error.SourceError:
                if not self.is_loaded:
                    self._is_due.set()
            else:
                entries = [_decode(row) for row in rows]
                self._quarantine.restore(
                    [entry for entry in entries if entry is not None]
                )
                self.is_loaded = True
            await asyncio.sleep(RETRY_S)

    async def store_changes(self) -> None:
        """Stores entries that change, until cancelled."""
        while True:
            await self._store(await self._changed.get())

    async def _store(self, entry: table.Entry) -> None:
        now = asyncio.get_running_loop().time()
        key = entry.fingerprint.hex()
        names = self._members.names(now)
        if self._members.node not in quota.rate_owners(key, names, WRITERS):
            return
        while True:
            try:
                await self._save(key, _encode(entry, now))
            except error.SourceError:
                await asyncio.sleep(RETRY_S)
            else:
                return


def _encode(entry: table.Entry, now: float) -> dict[str, Any]:
    wall = time.time()
    row = {
        'fingerprint': entry.fingerprint.hex(),
        'version': entry.version,
        'active': entry.is_active,
        'since': wall + entry.since_s - now,
        'until': wall + entry.until_s - now,
        'failed_probes': entry.failed_probes,
        'label': entry.label,
        'upstreams': list(entry.upstreams),
        'reason': entry.reason,
    }
    if entry.companions:
        row['companions'] = [one.hex() for one in entry.companions]
    return row


def _decode(row: Any) -> table.Entry | None:
    """Returns the entry in a row, None if it is malformed."""
    offset_s = asyncio.get_running_loop().time() - time.time()
    try:
        found = trait.check(bytes.fromhex(row['fingerprint']))
        companions = map(bytes.fromhex, row.get('companions', ()))
        since_s, until_s = float(row['since']), float(row['until'])
        if not abs(until_s - since_s) < MAX_TIME_S:
            raise ValueError('invalid time')
        return table.Entry(
            found,
            int(row['version']),
            bool(row['active']),
            since_s + offset_s,
            until_s + offset_s,
            int(row['failed_probes']),
            label=str(row['label']),
            upstreams=tuple(map(str, row['upstreams'])),
            reason=str(row['reason']),
            companions=tuple(map(trait.check, companions)),
        )
    except DECODE_ERRORS as exc:
        event.note(event.EntryInvalid('quarantine', repr(exc)))
        return None
