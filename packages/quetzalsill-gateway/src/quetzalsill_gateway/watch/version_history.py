"""Keeps the software versions that streams may hold events of.

A gateway that starts sees the versions that serve now. Streams that began
before may be of another one, which has left meanwhile. Other gateways say so,
and for the time when all restart at once, the versions of each service are
stored in the platform's store, a row for each.

A row is proof only if it must hold whatever began a stream. So a version is
stored before its first stream begins (`software_versions.Stage`), and a row
bears the epoch in which it was stored: a store that comes back from a copy has
lost its newest rows, and in the new epoch those gateways store all again that
know all versions. A row of an earlier epoch, or none beside rows of an earlier
epoch, proves nothing; without any rows, no stream has begun.

Any gateway stores what the store lacks (`fleet.write_turns`), and none relies
on another to have done it: a row counts as stored once it was read back, or
once the gateway that wrote it has announced that.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from quetzalsill_gateway import error, event
from quetzalsill_gateway.fleet import software_versions, write_turns
from quetzalsill_gateway.watch import version_rows

if TYPE_CHECKING:
    import random

    from quetzalsill_gateway import source
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.watch import epoch

__all__ = ['VersionHistory']

REFRESH_S = 1.0
# Gateways see a version for the last time at different moments. One that has
# expired here is kept in its row for so much longer, so that another gateway
# doesn't store it again.
SURPLUS_S = 10.0
# Announcements are repeated for so long, as datagrams are lost.
RECENT_S = 10.0
# Longest key of a row.
MAX_KEY_BYTES = 200
# Services in one datagram.
MAX_SERVICES = 50
KEY = 'versions'

Announce = Callable[[version_rows.StoredUpdate], None]


class VersionHistory:
    """Loads and stores the versions of services, and drops those long gone."""

    def __init__(
        self,
        upstreams: upstream_lib.Upstreams,
        node: str,
        writers: Callable[[], tuple[str, ...]],
        load: source.LoadRows,
        save: source.SaveRows,
        lifetime_s: Callable[[], float | None],
        is_isolated: Callable[[], bool],
        epochs: epoch.EpochTracker,
        rng: random.Random | None = None,
    ) -> None:
        """Creates it; `run` does the work.

        Args:
          upstreams: Membership, which has the versions seen.
          node: Name of this gateway.
          writers: Returns the gateways that may store a row now, this included;
            empty while they are unknown.
          load: Returns the stored rows.
          save: Stores rows.
          lifetime_s: Returns how long a stream may be taken up, in seconds;
            None if it is unknown.
          is_isolated: Whether this gateway has lost contact with all others and
            with the store.
          epochs: Tracks the epoch of the store.
          rng: Draws the times of writes without a turn.
        """
        self._versions = upstreams.versions
        self._upstreams = upstreams
        self._node = node
        self._turn = write_turns.WriteTurn(KEY, node, writers, rng)
        self._load = load
        self._save = save
        self._lifetime_s = lifetime_s
        self._is_isolated = is_isolated
        self._epochs = epochs
        self._announce: Announce = lambda _: None
        # What each row is known to hold.
        self._stored: dict[str, version_rows.Row] = {}
        self._is_loaded = False
        self._stored_s = -math.inf
        self._changed = asyncio.Event()
        self._versions.store_first()
        self._versions.on_new(self._changed.set)
        epochs.on_change(self._changed.set)

    def set_announcer(self, announce: Announce) -> None:
        """Sets the function that sends an update to all other gateways."""
        self._announce = announce

    async def run(self) -> None:
        """Works until cancelled."""
        while True:
            self._changed.clear()
            self._refresh()
            wait_s = await self._work()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()

    def receive(self, update: version_rows.StoredUpdate) -> None:
        """Records what another gateway knows to be stored."""
        if update.epoch < self._epochs.newest:
            return
        for service, names in update.services:
            row = version_rows.Row(service, frozenset(names), update.epoch)
            self._record(row, update.sender)
        self._changed.set()

    def updates(self) -> Iterator[version_rows.StoredUpdate]:
        """Yields what is known to be stored, for a gateway that starts."""
        epoch = self._epochs.newest
        services = [
            (row.service, tuple(sorted(row.names)))
            for row in self._stored.values()
            if row.epoch == epoch
        ]
        for first in range(0, len(services), MAX_SERVICES):
            part = tuple(services[first : first + MAX_SERVICES])
            yield version_rows.StoredUpdate(part, epoch)

    def recent(self) -> Iterator[version_rows.StoredUpdate]:
        """Yields what other gateways may have missed."""
        if _now() < self._stored_s + RECENT_S:
            yield from self.updates()

    def _refresh(self) -> None:
        if self._is_isolated():
            self._versions.mark_isolated()
            self._is_loaded = False
        lifetime_s = self._lifetime_s()
        if lifetime_s is not None:
            self._versions.refresh(self._upstreams.all(), lifetime_s)

    async def _work(self) -> float:
        """Loads, or stores what is due; returns the time to the next step."""
        try:
            if not self._is_loaded:
                await self._load_rows()
            if not any(self._missing()):
                self._turn.end()
                return REFRESH_S
            if self._turn.left_s() <= 0.0 and not await self._store_missing():
                self._turn.postpone(is_conflict=True)
        except error.SourceError:
            # Until it is loaded, no version is the only one.
            self._turn.postpone()
        return max(0.0, min(REFRESH_S, self._turn.left_s()))

    def _missing(self) -> Iterator[version_rows.Row]:
        """Yields the rows that the store is not known to hold."""
        for service in {*self._stored, *self._versions.services}:
            if len(service.encode()) > MAX_KEY_BYTES:
                # Refused, with all other rows of the same call.
                continue
            stored = self._stored.get(service) or version_rows.Row(service)
            wanted = self._wanted(stored)
            if (wanted.names, wanted.epoch) != (stored.names, stored.epoch):
                yield wanted

    def _wanted(self, stored: version_rows.Row) -> version_rows.Row:
        """Returns what should be in place of a row."""
        names = self._versions.names(stored.service)
        kept = [
            name
            for name in sorted(stored.names - names)
            if self._versions.expired_for_s(stored.service, name) < SURPLUS_S
        ]
        is_proof = self._versions.is_complete(stored.service)
        return dataclasses.replace(
            stored,
            names=names.union(
                kept[: software_versions.MAX_VERSIONS - len(names)]
            ),
            epoch=self._epochs.newest if is_proof else stored.epoch,
        )

    async def _load_rows(self) -> None:
        rows, epoch = await self._read()
        event.note(
            event.SoftwareVersionsLoaded(
                epoch=epoch,
                services=len(rows),
                versions=','.join(
                    f'{one.service}={"+".join(sorted(one.names))}'
                    for one in rows.values()
                ),
            )
        )
        self._is_loaded = True
        if all(one.epoch == epoch for one in rows.values()):
            self._versions.mark_complete()
        else:
            self._versions.mark_complete(0.0)

    async def _read(self) -> tuple[dict[str, version_rows.Row], int]:
        found = await self._load()
        rows = {
            key: version_rows.decode(key, row)
            for key, row in found.by_key.items()
        }
        for row in rows.values():
            self._record(row, '')
            if row.epoch == found.epoch:
                self._versions.mark_complete(service=row.service)
        for service in self._stored.keys() - rows.keys():
            del self._stored[service]
        return rows, found.epoch

    def _record(self, row: version_rows.Row, by: str) -> None:
        """Records what a row holds."""
        service = row.service
        for name in row.names - self._versions.names(service):
            if not self._versions.expired_for_s(service, name):
                self._versions.record(service, name)
        previous = self._stored.get(service)
        self._stored[service] = row
        self._versions.mark_stored(service, row.names)
        if previous is not None and (previous.names, previous.epoch) == (
            row.names,
            row.epoch,
        ):
            return
        self._stored_s = _now()
        event.note(
            event.SoftwareVersionsStored(
                service=service,
                versions=','.join(sorted(row.names)),
                epoch=row.epoch,
                by=by,
            )
        )

    async def _store_missing(self) -> bool:
        """Stores what the rows lack; returns False to try again soon."""
        _, epoch = await self._read()
        missing = list(self._missing())
        writes = {
            row.service: (row.version, version_rows.encode(row))
            for row in missing
        }
        if not writes:
            return True
        if self._epochs.newest != epoch:
            return False
        if not await self._save(writes) or self._epochs.newest != epoch:
            return False
        for row in missing:
            self._record(row, self._node)
        for update in self.updates():
            self._announce(update)
        return True


def _now() -> float:
    return asyncio.get_running_loop().time()
