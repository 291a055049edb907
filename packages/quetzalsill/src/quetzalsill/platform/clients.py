"""Opens all platform clients of a process together."""

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
    """Platform clients that share one health state of the store.

    Attributes:
      table: Client of the table.
      objects: Client of the object store.
      hosts: Client of the host list.
      health: Whether the store responds; calls of the host list are not
        counted.
    """

    def __init__(
        self, cfg: section.Platform, tls: section.Tls | None = None
    ) -> None:
        self.health = health.StoreHealth()
        self._timeout_s = cfg.timeout_s
        self._tls = tls
        self._sessions: list[client.Session] = []
        self.table = table.Table(self._open_exchange(cfg.table, self.health))
        self.objects = objects.Objects(
            self._open_exchange(cfg.objects, self.health)
        )
        self.hosts = hosts.HostList(
            self._open_exchange(cfg.hosts, health.StoreHealth())
        )

    def _open_exchange(
        self, url: str, store_health: health.StoreHealth
    ) -> exchange.Exchange:
        # The session has no total timeout: the exchange limits each attempt.
        session = client.session(
            url, None, self._tls, connect_timeout_s=self._timeout_s
        )
        self._sessions.append(session)
        return exchange.Exchange(session, self._timeout_s, store_health)

    async def run_probes(self) -> None:
        """Probes the store while it is failing; runs until cancelled."""
        await self.health.run_probes(
            lambda: self.table.get(PROBE_TABLE, PROBE_KEY)
        )

    async def close(self) -> None:
        """Closes all connections."""
        for session in self._sessions:
            await session.close()


@contextlib.asynccontextmanager
async def open_clients(
    cfg: section.Platform, tls: section.Tls | None = None
) -> AsyncIterator[Clients]:
    """Opens clients, monitors the store, and closes the clients on exit.

    Args:
      cfg: Addresses; `timeout_s` applies to one attempt, and a read has two.
      tls: Certificates for `https` addresses; those of the system if None.
    """
    clients = Clients(cfg, tls)
    probes = asyncio.create_task(clients.run_probes())
    try:
        yield clients
    finally:
        probes.cancel()
        await asyncio.gather(probes, return_exceptions=True)
        await clients.close()
