"""The process: runs a sidecar until it is told to stop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill.net import stop as net_stop
from quetzalsill.plugin import registry
from quetzalsill_sidecar import monitoring
from quetzalsill_sidecar import sidecar as sidecar_lib

if TYPE_CHECKING:
    from quetzalsill_sidecar import settings as settings_lib

__all__ = ['run']


async def run(settings: settings_lib.SidecarSettings) -> None:
    """Runs the sidecar; returns after a graceful stop.

    It leaves on SIGTERM and when the engine says that it is leaving.

    Raises:
      OSError: The address of the links can't be listened at.
      ListenError: That for monitoring can't.
    """
    sidecar = sidecar_lib.Sidecar(settings, registry.REGISTRY)
    with net_stop.StopSignal() as stop:
        await sidecar.start()
        try:
            async with monitoring.serve(sidecar):
                await _wait_for_either(stop, sidecar)
                sidecar.leave('shutting down')
                await sidecar.drained()
        finally:
            await sidecar.stop()


async def _wait_for_either(
    stop: net_stop.StopSignal, sidecar: sidecar_lib.Sidecar
) -> None:
    waits = [
        asyncio.ensure_future(stop.wait()),
        asyncio.ensure_future(sidecar.leaving.begun.wait()),
    ]
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()
