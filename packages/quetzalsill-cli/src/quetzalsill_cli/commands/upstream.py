"""`quetzalsill upstream`: state and draining of upstreams."""

from __future__ import annotations

import asyncio
from typing import Any

import click

from quetzalsill_cli import (
    edit,
    exchange,
    failure,
    option,
    output,
    rollout,
    router_client,
    runner,
)

__all__ = ['group']

_MAX_CONFLICT_ATTEMPTS = 5


@click.group(name='upstream')
def group() -> None:
    """Model servers and app servers."""


async def _read(
    client: router_client.RouterClient,
) -> tuple[dict[str, Any], rollout.Fleet]:
    return await asyncio.gather(
        client.get(exchange.path('upstreams')), rollout.fetch_fleet(client)
    )


def _row(
    name: str, upstream: dict[str, Any], node: rollout.Node | None
) -> list[Any]:
    load = node.load if node is not None and node.load else {}
    return [
        name,
        upstream['kind'],
        upstream['availability_zone'],
        node.state if node is not None else 'unlinked',
        upstream['draining'],
        load.get('queued'),
        load.get('running'),
        load.get('expected_wait_ms'),
        load.get('healthy'),
        upstream['models'] or upstream['services'],
    ]


@group.command(name='list')
@option.json_output
def list_upstreams(as_json: bool) -> None:
    """List the upstreams with their state and load."""
    body, fleet = runner.run(_read)
    nodes = {n.name: n for n in fleet.nodes if n.kind == 'sidecar'}
    if as_json:
        output.print_json(
            {**body, 'nodes': {n: nodes[n].to_json() for n in sorted(nodes)}}
        )
        return
    headers = (
        'NAME',
        'KIND',
        'ZONE',
        'STATE',
        'DRAINING',
        'QUEUED',
        'RUNNING',
        'WAIT_MS',
        'HEALTHY',
        'SERVES',
    )
    rows = (
        _row(name, upstream, nodes.get(name))
        for name, upstream in sorted(body['value'].items())
    )
    output.table(headers, rows)


async def _set_draining(
    client: router_client.RouterClient,
    name: str,
    action: str,
    note: str,
    wait: bool,
) -> None:
    """Drains or undrains an upstream, with retries after conflicts.

    Draining concerns one upstream only, so a concurrent edit of another part
    must not prevent it: it is retried from the newer revision.
    """
    for attempts_left in reversed(range(_MAX_CONFLICT_ATTEMPTS)):
        body = await client.get(exchange.path('upstreams', name))
        new_edit = edit.Edit(
            'POST',
            exchange.path('upstreams', name, action),
            None,
            body['revision'],
            note,
        )
        try:
            return await runner.submit_edit(client, new_edit, wait)
        except failure.ConflictError:
            if not attempts_left:
                raise
    return None


@group.command()
@click.argument('name')
@option.note
@option.wait
def drain(name: str, note: str, wait: bool) -> None:
    """Give an upstream no new work; what runs there runs on."""
    runner.run(lambda client: _set_draining(client, name, 'drain', note, wait))


@group.command()
@click.argument('name')
@option.note
@option.wait
def undrain(name: str, note: str, wait: bool) -> None:
    """Give an upstream new work again."""
    runner.run(
        lambda client: _set_draining(client, name, 'undrain', note, wait)
    )
