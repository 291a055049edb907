"""The platform's clients of one process, opened together."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from quetzalsill.platform import exchange, health, hosts, objects, table

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ['Clients', 'open_clients']

PROBE_TABLE = 'config'
PROBE_KEY = 'head'


class Clients:
    """Clients that share the health of the store.

    Attributes:
      table: Client of the table.
      objects: Client of the object store.
      hosts: Client of the host list.
      health: Whether the store answers; the host list has no part in it.
    """

    def __init__(
        self, table_url: str, objects_url: str, hosts_url: str, timeout_s: float
    ) -> None:
        self.health = health.StoreHealth()
        self._sessions = [
            exchange.open_session(url, timeout_s)
            for url in (table_url, objects_url, hosts_url)
        ]
        healths = (self.health, self.health, health.StoreHealth())
        calls = [
            exchange.Exchange(session, timeout_s, store_health)
            for session, store_health in zip(
                self._sessions, healths, strict=True
            )
        ]
        self.table = table.Table(calls[0])
        self.objects = objects.Objects(calls[1])
        self.hosts = hosts.HostList(calls[2])

    async def watch(self) -> None:
        """Probes the store while it fails; runs until cancelled."""
        await self.health.watch(lambda: self.table.get(PROBE_TABLE, PROBE_KEY))

    async def close(self) -> None:
        """Closes all connections."""
        for session in self._sessions:
            await session.close()


@contextlib.asynccontextmanager
async def open_clients(
    table_url: str, objects_url: str, hosts_url: str, timeout_s: float
) -> AsyncIterator[Clients]:
    """Opens clients, watches the store's health, and closes them at the end.

    Args:
      table_url: Base URL of the table.
      objects_url: Base URL of the object store.
      hosts_url: Base URL of the host list.
      timeout_s: Bound of one attempt; a read has two.
    """
    clients = Clients(table_url, objects_url, hosts_url, timeout_s)
    watch = asyncio.create_task(clients.watch())
    try:
        yield clients
    finally:
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        await clients.close()
