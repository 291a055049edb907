"""Entry point of the `quetzalsill` command."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from quetzalsill.plugin import registry
from quetzalsill_cli import option

if TYPE_CHECKING:
    from quetzalsill.plugin import registry as plugin_registry

__all__ = ['build', 'main']

_EPILOG = """\b
Exit codes:
  0  done
  1  the router failed in another way
  2  usage, or a name that does not exist
  3  invalid document; nothing was changed
  4  conflict: another edit was first; nothing was changed
  5  no router reachable, or its store is down; nothing was changed
  6  refused: unknown credential, or its role does not permit it
  7  outcome unknown: sent, and no answer tells what became of it
  8  accepted, but not yet in force on every live node

The operator token is read from --token-file or from QUETZALSILL_TOKEN.
"""


def build(plugins: plugin_registry.Registry) -> click.Group:
    """Builds the root command with all registered commands."""

    @click.group(name='quetzalsill', epilog=_EPILOG)
    @option.root_options
    @click.pass_context
    def root(ctx: click.Context, **values: object) -> None:
        """Operates quetzalsill through the administration API of a router."""
        ctx.obj = option.build_options(**values)

    for plugin in plugins.plugins('command'):
        root.add_command(plugin.value, plugin.name)
    return root


def main() -> None:
    """Runs the command line."""
    registry.REGISTRY.load()
    build(registry.REGISTRY)(prog_name='quetzalsill')
