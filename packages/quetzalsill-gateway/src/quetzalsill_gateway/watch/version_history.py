"""Keeps the software versions that streams may hold events of.

A gateway that starts sees the versions that serve now. Streams that began
before may be of another one, which has left meanwhile. Other gateways say so,
and for the time when all restart at once, services that have had several
versions are stored in the platform's store. While each service has one version,
nothing is stored.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from quetzalsill_gateway import error, event
from quetzalsill_gateway.fleet import quota, software_versions

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import members as members_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.watch import epoch

__all__ = ['VersionHistory']

REFRESH_S = 1.0
# Gateways that store a service's versions; one of them may be down.
WRITERS = 2
DECODE_ERRORS = (LookupError, TypeError, ValueError, AttributeError)


class VersionHistory:
    """Loads and stores the versions of services, and drops those long gone."""

    def __init__(
        self,
        upstreams: upstream_lib.Upstreams,
        members: members_lib.Members,
        load: Callable[[], Awaitable[list[Any]]],
        save: Callable[[str, Any], Awaitable[None]],
        lifetime_s: Callable[[], float | None],
        is_isolated: Callable[[], bool],
        epochs: epoch.EpochTracker,
    ) -> None:
        """Creates it; `run` does the work.

        Args:
          upstreams: Membership, which has the versions seen.
          members: Gateways that may store a service's versions.
          load: Returns the stored rows.
          save: Stores a row under a key. Both raise `error.SourceError`.
          lifetime_s: Returns how long a stream may be taken up, in seconds;
            None if it is unknown.
          is_isolated: Whether this gateway has lost contact with all others and
            with the store.
          epochs: Tracks the epoch of the store.
        """
        self._upstreams = upstreams
        self._members = members
        self._load = load
        self._save = save
        self._lifetime_s = lifetime_s
        self._is_isolated = is_isolated
        self._epochs = epochs
        self._stored: dict[str, list[str]] = {}
        self._is_loaded = False

    async def run(self) -> None:
        """Works until cancelled."""
        versions = self._upstreams.versions
        while True:
            try:
                if not self._is_loaded:
                    await self._load_rows()
                else:
                    await self._store_changes()
            except error.SourceError:
                # Tried again; until it is loaded, no version is the only one.
                pass
            if self._is_isolated():
                versions.mark_isolated()
                self._is_loaded = False
            lifetime_s = self._lifetime_s()
            if lifetime_s is not None:
                versions.refresh(self._upstreams.all(), lifetime_s)
            await asyncio.sleep(REFRESH_S)

    async def _load_rows(self) -> None:
        versions = self._upstreams.versions
        rows = [found for row in await self._load() if (found := _decode(row))]
        event.note(
            event.SoftwareVersionsLoaded(
                epoch=self._epochs.newest,
                services=len(rows),
                versions=','.join(
                    f'{service}={"+".join(names)}' for service, names in rows
                ),
            )
        )
        for service, names in rows:
            if len(names) > 1:
                self._stored[service] = names
                for name in names:
                    versions.record(service, name)
        self._is_loaded = True
        versions.mark_complete()

    async def _store_changes(self) -> None:
        """Stores the versions of services that have, or had, several."""
        versions = self._upstreams.versions
        now = asyncio.get_running_loop().time()
        for service in {*self._stored, *versions.services_with_several}:
            names = sorted(versions.names(service))
            if self._stored.get(service, []) == names:
                continue
            owners = quota.rate_owners(
                service, self._members.names(now), WRITERS
            )
            if self._members.node in owners:
                row = {'service': service, 'versions': names}
                await self._save(service, row)
            self._note_stored(service, names, owners)
            self._stored[service] = names
            if len(names) <= 1:
                del self._stored[service]

    def _note_stored(
        self, service: str, names: list[str], owners: list[str]
    ) -> None:
        node = self._members.node
        event.note(
            event.SoftwareVersionsStored(
                service=service,
                versions=','.join(names),
                epoch=self._epochs.newest,
                by=node if node in owners else '',
            )
        )


def _decode(row: Any) -> tuple[str, list[str]] | None:
    """Returns a service and its versions, None if the row is malformed."""
    try:
        service, names = row['service'], row['versions']
        if not isinstance(service, str):
            raise TypeError('service is no text')
        if len(names) > software_versions.MAX_VERSIONS or not all(
            isinstance(name, str) for name in names
        ):
            raise ValueError('invalid versions')
        return service, list(names)
    except DECODE_ERRORS as exc:
        event.note(event.EntryInvalid('versions', repr(exc)))
        return None
