"""Keeps quarantined requests while all gateways restart.

Gateways have no disk, and those that lose power at the same moment find nobody
who knows. So each entry is stored in the platform's store too. All of them find
a culprit at about the same time, and one stores it (`fleet.write_turns`); a few
others read in their turns whether it has, as it may have failed, and so does a
gateway that moves up as one has left. In a new epoch, the store may have
lost entries, and all are read and stored again.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

from quetzalsill_gateway import error, event
from quetzalsill_gateway.fleet import write_turns
from quetzalsill_gateway.quarantine import table, trait

if TYPE_CHECKING:
    import random

    from quetzalsill_gateway import source
    from quetzalsill_gateway.quarantine import quarantine as quarantine_lib
    from quetzalsill_gateway.watch import epoch

__all__ = ['Persistence']

RETRY_S = 1.0
KEY = 'quarantine'
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
        node: str,
        writers: Callable[[], tuple[str, ...]],
        load: source.LoadRows,
        save: source.SaveRows,
        epochs: epoch.EpochTracker,
        rng: random.Random | None = None,
    ) -> None:
        """Creates it; the two loops do the work.

        Args:
          quarantine: Quarantine of this gateway.
          node: Name of this gateway.
          writers: Returns the gateways that may store entries now, this
            included; empty while they are unknown.
          load: Returns the stored rows.
          save: Stores rows.
          epochs: Tracks the epoch of the store.
          rng: Draws the times of retries.
        """
        self._quarantine = quarantine
        self._turn = write_turns.WriteTurn(KEY, node, writers, rng)
        self._load = load
        self._save = save
        self._epochs = epochs
        # What each stored entry ranks, in the epoch in which that was seen.
        self._stored: dict[bytes, tuple[Any, ...]] = {}
        self._stored_epoch = epochs.newest
        self._changed = asyncio.Event()
        self.is_loaded = False
        self._is_due = asyncio.Event()
        self._is_due.set()
        quarantine.on_changed(lambda _: self._changed.set())
        quarantine.on_crash(self._is_due.set)
        epochs.on_change(self._changed.set)

    async def load_entries(self) -> None:
        """Loads entries at the start, and after crashes, until cancelled.

        A gateway that sees a crash may be cut off from the others, which know
        the culprit.
        """
        while True:
            await self._is_due.wait()
            self._is_due.clear()
            try:
                stored = await self._load()
            except error.SourceError:
                if not self.is_loaded:
                    self._is_due.set()
            else:
                self._record(stored)
                self.is_loaded = True
            await asyncio.sleep(RETRY_S)

    async def store_changes(self) -> None:
        """Stores entries that the store lacks, until cancelled."""
        while True:
            self._changed.clear()
            wait_s = await self._work()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()

    async def _work(self) -> float:
        """Stores what is due; returns the time to the next step."""
        if not any(self._missing()):
            self._turn.end()
            return RETRY_S
        if not self._turn.is_ordered:
            return RETRY_S
        try:
            if self._turn.left_s() <= 0.0 and not await self._store_missing():
                self._turn.postpone(is_conflict=True)
        except error.SourceError:
            self._turn.postpone()
        return max(0.0, min(RETRY_S, self._turn.left_s()))

    def _missing(self) -> Iterator[table.Entry]:
        """Yields the entries that the store is not known to hold."""
        is_current = self._stored_epoch == self._epochs.newest
        stored = self._stored if is_current else {}
        for entry in self._quarantine.known_entries:
            rank = stored.get(entry.fingerprint)
            if rank is None or rank < entry.rank:
                yield entry

    async def _store_missing(self) -> bool:
        """Stores what the rows lack; returns False to try again soon."""
        stored = await self._load()
        self._record(stored)
        if self._epochs.newest != stored.epoch:
            return False
        now = asyncio.get_running_loop().time()
        missing = list(self._missing())
        writes = {}
        for entry in missing:
            key = entry.fingerprint.hex()
            row = stored.by_key.get(key)
            writes[key] = (row.version if row else 0, _encode(entry, now))
        if writes and not await self._save(writes):
            return False
        if self._epochs.newest != stored.epoch:
            return False
        for entry in missing:
            self._stored[entry.fingerprint] = entry.rank
        return True

    def _record(self, stored: source.StoredRows) -> None:
        """Applies the stored entries, and records that they are stored."""
        decoded = [_decode(row.value) for row in stored.by_key.values()]
        entries = [entry for entry in decoded if entry is not None]
        self._quarantine.restore(entries)
        if stored.epoch == self._epochs.newest:
            self._stored_epoch = stored.epoch
            self._stored = {one.fingerprint: one.rank for one in entries}


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
