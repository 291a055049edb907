"""Gateways, a store and servers, started and ended together."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

import standin_config as config
import standin_gateway as gateway
import standin_store as store

if TYPE_CHECKING:
    import standin_engine as engine

__all__ = ['Cluster', 'run']


class Cluster:
    """What runs during a case.

    Attributes:
      store: The platform's store.
      engines: The servers of the service `pool`.
      gateways: The gateways.
      in_rotation: Those that get new connections.
    """

    def __init__(self, engines: list[engine.Engine]) -> None:
        self.store = store.Store()
        self.engines = engines
        self.gateways: list[gateway.Gateway] = []
        self.in_rotation: list[gateway.Gateway] = []

    async def start(self, folder: pathlib.Path, count: int) -> None:
        """Starts everything; returns once the gateways are ready."""
        await self.store.server.start()
        self.store.put('op', 'config', config.CONFIG)
        for one in self.engines:
            await one.server.start()
            self.store.put('servers', one.id, one.entry('pool'))
        for number in range(count):
            found = gateway.Gateway(
                f'edge-{number + 1}', folder, self.store.server.address
            )
            self.gateways.append(found)
            await found.start()
        self.in_rotation = list(self.gateways)

    async def check_readiness(self) -> None:
        """Takes a gateway out of rotation after two misses, as ingress does."""
        misses = dict.fromkeys(self.gateways, 0)
        while True:
            await asyncio.sleep(1.0)
            for one in self.gateways:
                is_ready = await one.is_ready()
                misses[one] = 0 if is_ready else misses[one] + 1
            self.in_rotation = [one for one in self.gateways if misses[one] < 2]

    async def stop(self) -> None:
        """Ends all processes and servers."""
        for one in self.gateways:
            await one.kill()
        for one in self.engines:
            await one.server.stop()
        await self.store.server.stop()


@contextlib.asynccontextmanager
async def run(
    cluster: Cluster, folder: pathlib.Path, count: int
) -> AsyncIterator[list[asyncio.Task[None]]]:
    """Runs a cluster; yields a list of tasks that are ended with it."""
    tasks: list[asyncio.Task[None]] = []
    try:
        await cluster.start(folder, count)
        tasks.append(asyncio.create_task(cluster.check_readiness()))
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await cluster.stop()
        # The handlers of cut connections end.
        await asyncio.sleep(0.1)
