"""`quetzalsill status`: a summary of the system."""

from __future__ import annotations

import click

from quetzalsill_cli import exchange, option, output, perform

__all__ = ['command']


@click.command(name='status')
@option.json_output
def command(as_json: bool) -> None:
    """Show a summary: nodes, work, store, and who is behind."""
    body = perform.run(lambda links: links.read(exchange.path('status')))
    if as_json:
        output.print_json(body)
    else:
        output.pairs(body)
