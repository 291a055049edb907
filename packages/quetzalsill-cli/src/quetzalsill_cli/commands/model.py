"""`quetzalsill model`: models by the names that callers use."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
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

__all__ = ['group']


@click.group(name='model')
def group() -> None:
    """The models that callers name."""


async def _read(
    client: router_client.RouterClient,
) -> tuple[dict[str, Any], dict[str, Any], rollout.Fleet]:
    return await asyncio.gather(
        client.get(exchange.path('models')),
        client.get(exchange.path('upstreams')),
        rollout.fetch_fleet(client),
    )


def _loaded_models(fleet: rollout.Fleet) -> Iterator[str]:
    for node in fleet.linked():
        if node.load:
            yield from node.load['models']


@group.command(name='list')
@option.json_output
def list_models(as_json: bool) -> None:
    """List the models: upstreams that should, and do, have them loaded."""
    body, upstreams, fleet = runner.run(_read)
    wanted = Counter(
        model
        for upstream in upstreams['value'].values()
        for model in upstream['models']
    )
    loaded = Counter(_loaded_models(fleet))
    if as_json:
        counts = {
            name: {'wanted': wanted[name], 'loaded': loaded[name]}
            for name in body['value']
        }
        output.print_json({**body, 'upstreams': counts})
        return
    rows = (
        [
            name,
            model['profile'],
            model['adapters'],
            model['context_tokens'],
            wanted[name],
            loaded[name],
        ]
        for name, model in sorted(body['value'].items())
    )
    headers = ('NAME', 'PROFILE', 'ADAPTERS', 'CONTEXT', 'WANTED', 'LOADED')
    output.table(headers, rows)
