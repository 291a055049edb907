"""`quetzalsill status`: a summary of the system."""

from __future__ import annotations

from typing import Any

import click

from quetzalsill_cli import (
    exchange,
    option,
    output,
    rollout,
    router_client,
    runner,
)

__all__ = ['command']


async def _read(client: router_client.RouterClient) -> dict[str, Any]:
    """Reads one router's summary, and queries all for nodes that are behind.

    A router knows its own revision, but learns those of other routers some
    seconds late.
    """
    body = await client.get(exchange.path('status'))
    fleet = await rollout.fetch_fleet(client)
    behind = fleet.behind(body['revision'])
    return body | {'behind': [node.name for node in behind]}


@click.command(name='status')
@option.json_output
def command(as_json: bool) -> None:
    """Show a summary: nodes, work, store, and who is behind."""
    body = runner.run(_read)
    if as_json:
        output.print_json(body)
    else:
        output.key_values(body)
