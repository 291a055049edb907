"""The platform's clients of one process, opened together."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from quetzalsill.net import client
from quetzalsill.platform import exchange, health, hosts, objects, table

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quetzalsill.settings import section

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
        self, cfg: section.Platform, tls: section.Tls | None = None
    ) -> None:
        self.health = health.StoreHealth()
        self._timeout_s = cfg.timeout_s
        self._tls = tls
        self._sessions: list[client.Session] = []
        self.table = table.Table(self._calls(cfg.table, self.health))
        self.objects = objects.Objects(self._calls(cfg.objects, self.health))
        self.hosts = hosts.HostList(
            self._calls(cfg.hosts, health.StoreHealth())
        )

    def _calls(
        self, url: str, store_health: health.StoreHealth
    ) -> exchange.Exchange:
        # No bound of its own: the exchange bounds each attempt as a whole.
        session = client.session(
            url, None, self._tls, connect_timeout_s=self._timeout_s
        )
        self._sessions.append(session)
        return exchange.Exchange(session, self._timeout_s, store_health)

    async def watch(self) -> None:
        """Probes the store while it fails; runs until cancelled."""
        await self.health.watch(lambda: self.table.get(PROBE_TABLE, PROBE_KEY))

    async def close(self) -> None:
        """Closes all connections."""
        for session in self._sessions:
            await session.close()


@contextlib.asynccontextmanager
async def open_clients(
    cfg: section.Platform, tls: section.Tls | None = None
) -> AsyncIterator[Clients]:
    """Opens clients, watches the store's health, and closes them at the end.

    Args:
      cfg: Addresses; its timeout bounds one attempt, and a read has two.
      tls: Certificates for `https` addresses; the system's if None.
    """
    clients = Clients(cfg, tls)
    watch = asyncio.create_task(clients.watch())
    try:
        yield clients
    finally:
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        await clients.close()
