"""The engine stand-in behind the sidecars of this benchmark."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill_dev import board

if TYPE_CHECKING:
    from quetzalsill_dev import launch

__all__ = ['NAME', 'start']

NAME = 'server-0000'


async def start(launcher: launch.Launcher) -> launch.Process:
    """Starts an engine stand-in with the Board's model loaded."""
    return await launcher.start(
        NAME, 'quetzalsill_dev.engine_standin', f'--models={board.MODEL}'
    )
