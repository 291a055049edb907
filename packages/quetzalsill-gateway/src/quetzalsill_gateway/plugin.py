"""Registers the role `gateway`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill.plugin import registry as plugin_registry
from quetzalsill.plugin import role
from quetzalsill_gateway import settings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ['register']


def register(registry: plugin_registry.Registry) -> None:
    """Adds the role."""
    registry.add(
        'role',
        'gateway',
        role.Role('gateway', settings.Settings, _run, reloads=True),
        "Forwards callers' requests straight to upstreams.",
    )


def _run(
    cfg: settings.Settings, read: Callable[[], settings.Settings]
) -> Awaitable[None]:
    # Loaded by the processes of this role alone: each process registers every
    # role that is installed.
    from quetzalsill_gateway import run

    return run.run(cfg, read)
