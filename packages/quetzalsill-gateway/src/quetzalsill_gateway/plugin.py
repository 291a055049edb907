"""Plug-in that registers the role `gateway`."""

from __future__ import annotations

from quetzalsill.plugin import registry as plugin_registry
from quetzalsill.plugin import role
from quetzalsill_gateway import settings

__all__ = ['register']


def register(registry: plugin_registry.Registry) -> None:
    """Registers the role."""
    registry.add(
        'role',
        'gateway',
        role.Role(
            'gateway',
            settings.Settings,
            role.run_lazily('quetzalsill_gateway.run'),
            reloads=True,
        ),
        "Forwards callers' requests straight to upstreams.",
    )
