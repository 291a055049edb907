"""Runs the asynchronous part of a command, and sees an edit through."""

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
    routers,
)

__all__ = ['carry_out', 'run', 'show']

T = TypeVar('T')


def run(work: Callable[[routers.Routers], Awaitable[T]]) -> T:
    """Runs work with the routers that the options name."""
    options = click.get_current_context().find_object(option.Options)

    async def connected() -> T:
        async with routers.connect(options) as links:
            return await work(links)

    return asyncio.run(connected())


def show(*parts: str, as_json: bool) -> None:
    """Prints every key of one part of the configuration.

    Args:
      *parts: Path of the part below the configuration API.
      as_json: Print the whole answer as JSON.
    """
    body = run(lambda links: links.read(exchange.path(*parts)))
    if as_json:
        output.print_json(body)
    else:
        output.pairs(body['value'])


async def carry_out(
    links: routers.Routers, wanted: edit.Edit, wait: bool
) -> None:
    """Submits an edit, says what became of it, and waits if asked to.

    Raises:
      NotInForceError: Accepted, but not yet in force on every live node.
      CommandError: As `edit.submit` does.
    """
    accepted = await edit.submit(links, wanted)
    if accepted.lost:
        _say_what_was_found(accepted)
    click.echo(f'revision {accepted.revision} accepted (edit {accepted.edit})')
    if wait:
        await _wait(links, accepted.revision)


def _say_what_was_found(accepted: edit.Accepted) -> None:
    found = (
        'the edit had taken effect'
        if accepted.earlier
        else 'the edit had not taken effect and was made now'
    )
    click.echo(f'answers lost: {accepted.lost}; asked again: {found}', err=True)


async def _wait(links: routers.Routers, revision: int) -> None:
    try:
        fleet, behind = await rollout.wait(links, revision, rollout.BOUND_S)
    except failure.CommandError as exc:
        raise failure.NotInForceError(
            f'revision {revision} is accepted, but no router tells who has '
            f'it in force: {exc.message}'
        ) from exc
    _check(fleet, behind, revision)
    click.echo(f'in force on {len(fleet.linked())} nodes')
    unlinked = ', '.join(node.name for node in fleet.unlinked())
    if unlinked:
        click.echo(
            f'not linked to the routers asked, so not known: {unlinked}',
            err=True,
        )


def _line(node: rollout.Node) -> str:
    shown = (
        'lost its link'
        if node.state == 'unlinked'
        else f'revision {node.revision}'
    )
    return f'  {node.kind} {node.name} ({node.availability_zone}): {shown}'


def _check(
    fleet: rollout.Fleet, behind: list[rollout.Node], revision: int
) -> None:
    lines = [_line(node) for node in behind]
    if not fleet.complete:
        lines.append('  the store does not tell which routers are live')
    if lines:
        raise failure.NotInForceError(
            '\n'.join(
                [
                    f'revision {revision} is accepted, but within '
                    f'{rollout.BOUND_S:g} s it was not in force on:',
                    *lines,
                ]
            ),
            'It stays accepted; see `quetzalsill config status`.',
        )
