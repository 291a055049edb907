"""`quetzalsill profile`: profiles, which define how requests are served."""

from __future__ import annotations

from typing import Any

import click

from quetzalsill_cli import (
    assignment,
    edit,
    editor,
    exchange,
    failure,
    history,
    option,
    output,
    router_client,
    runner,
)

__all__ = ['group']

_COLUMNS = (
    'delivery',
    'durable',
    'idempotent',
    'deadline_s',
    'queue_wait_s',
    'priority',
)


@click.group(name='profile')
def group() -> None:
    """Profiles, which promise how traffic is served."""


@group.command(name='list')
@option.json_output
def list_profiles(as_json: bool) -> None:
    """List the profiles."""
    body = runner.run(lambda client: client.get(exchange.path('profiles')))
    if as_json:
        output.print_json(body)
        return
    rows = (
        [name, *(profile[key] for key in _COLUMNS)]
        for name, profile in sorted(body['value'].items())
    )
    output.table(['NAME', *map(str.upper, _COLUMNS)], rows)


@group.command()
@click.argument('name')
@option.json_output
def show(name: str, as_json: bool) -> None:
    """Show every key of one profile."""
    runner.show('profiles', name, as_json=as_json)


@group.command(name='history')
@click.argument('name')
@history.limit
@option.json_output
def show_history(name: str, limit: int, as_json: bool) -> None:
    """Show who changed a profile, the newest edit first."""
    history.show(f'profiles.{name}', limit, as_json)


async def _read_profile(
    client: router_client.RouterClient, name: str, create: bool
) -> tuple[int, dict[str, Any]]:
    """Returns the revision and a profile's values; a new one has none."""
    body = await client.get(exchange.path('profiles'))
    profiles = body['value']
    if name not in profiles and not create:
        raise failure.NotFoundError(
            f'no profile {name!r}; there are: {", ".join(sorted(profiles))}',
            'Use --create to add it.',
        )
    return body['revision'], profiles.get(name, {})


@group.command(name='edit')
@click.argument('name')
@option.assignments('Change one key; repeatable. Without it $EDITOR opens.')
@click.option('--create', is_flag=True, help='Add the profile if it is new.')
@option.expect
@option.note
@option.wait
def edit_profile(
    name: str,
    assignments: tuple[str, ...],
    create: bool,
    expect: int | None,
    note: str,
    wait: bool,
) -> None:
    """Change a profile and see it in force everywhere."""

    async def read_and_change(client: router_client.RouterClient) -> None:
        revision, values = await _read_profile(client, name, create)
        if assignments:
            changed = assignment.apply(values, assignments)
        else:
            changed = editor.edit_values(f'profile {name}', values)
        if changed is None:
            click.echo('no change')
            return
        new_edit = edit.Edit(
            'PUT',
            exchange.path('profiles', name),
            changed,
            revision if expect is None else expect,
            note,
        )
        await runner.submit_edit(client, new_edit, wait)

    runner.run(read_and_change)
