"""Registers the built-in commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill_cli.commands import (
    account,
    completion,
    config,
    explain,
    model,
    profile,
    request,
    status,
    upstream,
)

if TYPE_CHECKING:
    from quetzalsill.plugin import registry as plugin_registry

__all__ = ['register']

_COMMANDS = (
    account.group,
    completion.command,
    config.group,
    explain.command,
    model.group,
    profile.group,
    request.group,
    status.command,
    upstream.group,
)


def register(registry: plugin_registry.Registry) -> None:
    """Registers each command under the kind `command`."""
    for command in _COMMANDS:
        registry.add(
            'command', command.name, command, command.get_short_help_str()
        )
