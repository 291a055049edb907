"""Entry point of the process: runs a sidecar until it is stopped."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from quetzalsill.daemon import background
from quetzalsill.net import stop as net_stop
from quetzalsill.platform import clients
from quetzalsill.plugin import registry
from quetzalsill_sidecar import monitoring
from quetzalsill_sidecar import sidecar as sidecar_lib
from quetzalsill_sidecar.placement import placer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quetzalsill_sidecar import settings as settings_lib

__all__ = ['run']


async def run(settings: settings_lib.SidecarSettings) -> None:
    """Runs the sidecar; returns after a graceful shutdown.

    Shutdown starts on SIGTERM or when the engine reports that it is leaving.

    Raises:
      OSError: The address of the link listener can't be bound.
      ListenError: The address of the monitoring listener can't be bound.
    """
    sidecar = sidecar_lib.Sidecar(settings, registry.REGISTRY)
    with net_stop.StopSignal() as stop:
        await sidecar.start()
        try:
            async with monitoring.serve(sidecar), _run_placement(sidecar):
                await _wait_for_stop(stop, sidecar)
                sidecar.leave('shutting down')
                await sidecar.wait_drained()
        finally:
            await sidecar.stop()


@contextlib.asynccontextmanager
async def _run_placement(sidecar: sidecar_lib.Sidecar) -> AsyncIterator[None]:
    """Runs the placement of models in the background, for model engines."""
    if sidecar.settings.upstream.kind != 'model':
        yield
        return
    async with clients.open_clients(sidecar.settings.platform) as platform:

        async def place() -> None:
            await placer.Placer(sidecar, platform).run()

        task = asyncio.create_task(background.keep_running('placement', place))
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


async def _wait_for_stop(
    stop: net_stop.StopSignal, sidecar: sidecar_lib.Sidecar
) -> None:
    tasks = [
        asyncio.ensure_future(stop.wait()),
        asyncio.ensure_future(sidecar.leaving.started.wait()),
    ]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
