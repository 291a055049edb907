"""The engine stand-in before which the sidecars of this bench stand."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill_dev import board

if TYPE_CHECKING:
    from quetzalsill_dev import launch

__all__ = ['NAME', 'start']

NAME = 'server-0000'


async def start(launcher: launch.Launcher) -> launch.Process:
    """Starts an engine stand-in that has the model of the Board."""
    return await launcher.start(
        NAME, 'quetzalsill_dev.engine_standin', f'--models={board.MODEL}'
    )
