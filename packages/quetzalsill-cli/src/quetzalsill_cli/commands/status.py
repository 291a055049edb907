"""`quetzalsill status`: a summary of the system."""

from __future__ import annotations

from typing import Any

import click

from quetzalsill_cli import (
    exchange,
    option,
    output,
    perform,
    rollout,
    routers,
)

__all__ = ['command']


async def _read(links: routers.Routers) -> dict[str, Any]:
    """Reads one router's summary, and from all of them who is behind.

    What a router knows of the others' revisions lags by some seconds; each
    knows its own.
    """
    body = await links.read(exchange.path('status'))
    fleet = await rollout.look(links)
    behind = fleet.behind(body['revision'])
    return body | {'behind': [node.name for node in behind]}


@click.command(name='status')
@option.json_output
def command(as_json: bool) -> None:
    """Show a summary: nodes, work, store, and who is behind."""
    body = perform.run(_read)
    if as_json:
        output.print_json(body)
    else:
        output.pairs(body)
