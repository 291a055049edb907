"""`quetzalsill completion`: shell completion scripts."""

from __future__ import annotations

import click
from click import shell_completion

__all__ = ['command']

_PROGRAM_NAME = 'quetzalsill'
_COMPLETION_VARIABLE = '_QUETZALSILL_COMPLETE'


@click.command(name='completion')
@click.argument('shell', type=click.Choice(['bash', 'zsh', 'fish']))
@click.pass_context
def command(ctx: click.Context, shell: str) -> None:
    """Print the completion script of a shell.

    For bash, put it in a file and source that from ~/.bashrc.
    """
    cls = shell_completion.get_completion_class(shell)
    script = cls(
        ctx.find_root().command, {}, _PROGRAM_NAME, _COMPLETION_VARIABLE
    )
    # `BashComplete.source` would start a shell to check its version.
    click.echo(shell_completion.ShellComplete.source(script))
