"""Runs the asynchronous part of commands and submits edits."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import click

from quetzalsill_cli import (
    edit,
    exchange,
    failure,
    option,
    output,
    rollout,
    router_client,
)

__all__ = ['run', 'show', 'submit_edit']

T = TypeVar('T')


def run(command: Callable[[router_client.RouterClient], Awaitable[T]]) -> T:
    """Runs a command with a client for the routers in the options."""
    options = click.get_current_context().find_object(option.Options)

    async def run_connected() -> T:
        async with router_client.connect(options) as client:
            return await command(client)

    return asyncio.run(run_connected())


def show(*parts: str, as_json: bool) -> None:
    """Prints all keys of one part of the configuration.

    Args:
      *parts: Path segments of the part below `/admin/v1`.
      as_json: Print the complete response body as JSON.
    """
    body = run(lambda client: client.get(exchange.path(*parts)))
    if as_json:
        output.print_json(body)
    else:
        output.key_values(body['value'])


async def submit_edit(
    client: router_client.RouterClient, new_edit: edit.Edit, wait: bool
) -> None:
    """Submits an edit, prints its outcome and optionally waits for rollout.

    Raises:
      RolloutIncompleteError: Accepted, but not yet active on every live node.
      CommandError: As for `edit.submit`.
    """
    accepted = await edit.submit(client, new_edit)
    if accepted.lost_responses:
        _report_lost_responses(accepted)
    click.echo(f'revision {accepted.revision} accepted (edit {accepted.edit})')
    if wait:
        await _wait_until_active(client, accepted.revision)


def _report_lost_responses(accepted: edit.Accepted) -> None:
    outcome = (
        'the edit had taken effect'
        if accepted.already_accepted
        else 'the edit had not taken effect and was made now'
    )
    click.echo(
        f'answers lost: {accepted.lost_responses}; asked again: {outcome}',
        err=True,
    )


async def _wait_until_active(
    client: router_client.RouterClient, revision: int
) -> None:
    try:
        fleet, behind = await rollout.wait(
            client, revision, rollout.WAIT_TIMEOUT_S
        )
    except failure.CommandError as exc:
        raise failure.RolloutIncompleteError(
            f'revision {revision} is accepted, but no router tells who has '
            f'it in force: {exc.message}'
        ) from exc
    _require_complete(fleet, behind, revision)
    click.echo(f'in force on {len(fleet.linked())} nodes')
    unlinked = ', '.join(node.name for node in fleet.unlinked())
    if unlinked:
        click.echo(
            f'not linked to the routers asked, so not known: {unlinked}',
            err=True,
        )


def _describe_node(node: rollout.Node) -> str:
    state = (
        'lost its link'
        if node.state == 'unlinked'
        else f'revision {node.revision}'
    )
    return f'  {node.kind} {node.name} ({node.availability_zone}): {state}'


def _require_complete(
    fleet: rollout.Fleet, behind: list[rollout.Node], revision: int
) -> None:
    lines = [_describe_node(node) for node in behind]
    if not fleet.complete:
        lines.append('  the store does not tell which routers are live')
    if lines:
        raise failure.RolloutIncompleteError(
            '\n'.join(
                [
                    f'revision {revision} is accepted, but within '
                    f'{rollout.WAIT_TIMEOUT_S:g} s it was not in force on:',
                    *lines,
                ]
            ),
            'It stays accepted; see `quetzalsill config status`.',
        )
