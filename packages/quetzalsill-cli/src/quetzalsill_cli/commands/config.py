"""`quetzalsill config`: the complete shared configuration."""

from __future__ import annotations

import dataclasses
from importlib import resources
from typing import Any

import click

import quetzalsill_cli
from quetzalsill.config import difference, model
from quetzalsill.schema import check as schema_check
from quetzalsill.schema import error as schema_error
from quetzalsill_cli import (
    document,
    edit,
    exchange,
    failure,
    history,
    option,
    output,
    rollout,
    router_client,
    runner,
)

__all__ = ['group']

EXAMPLE = 'example.json5'
_FILE_TYPE = click.Path(exists=True, dir_okay=False)


@click.group(name='config')
def group() -> None:
    """The shared configuration as a whole."""


@group.command()
@click.argument('file', type=_FILE_TYPE)
def check(file: str) -> None:
    """Check a configuration file; needs no router."""
    document.load(file)
    click.echo(f'{file} is valid')


@group.command()
def example() -> None:
    """Print a commented first configuration, with the shipped profiles."""
    file = resources.files(quetzalsill_cli) / EXAMPLE
    click.echo(file.read_text(encoding='utf-8'), nl=False)


@group.command()
@option.json_output
def show(as_json: bool) -> None:
    """Print the configuration as a document that `apply` takes."""
    body = runner.run(lambda client: client.get(exchange.path('config')))
    output.print_json(body)


async def _base_revision(
    client: router_client.RouterClient, data: dict[str, Any], expect: int | None
) -> int:
    """Returns the revision that an edit is based on.

    This is the one of --expect, else the one that `config show` wrote into
    the file, else the current one.
    """
    if expect is not None:
        return expect
    if data.get('revision'):
        return data['revision']
    body = await client.get(exchange.path('config'))
    return body['revision']


@group.command()
@click.argument('file', type=_FILE_TYPE)
@option.expect
@option.note
@option.wait
def apply(file: str, expect: int | None, note: str, wait: bool) -> None:
    """Replace the whole configuration by a file.

    The edit is refused if the configuration changed since the revision in
    --expect, or since the one that `config show` wrote into the file.
    """
    data = document.read(file)

    async def read_and_apply(client: router_client.RouterClient) -> None:
        base_revision = await _base_revision(client, data, expect)
        new_edit = edit.Edit(
            'PUT', exchange.path('config'), data, base_revision, note
        )
        await runner.submit_edit(client, new_edit, wait)

    runner.run(read_and_apply)


@group.command()
@click.argument('file', type=_FILE_TYPE, required=False)
@click.option('--from', 'since', type=click.IntRange(min=0), metavar='REVISION')
@click.option('--to', type=click.IntRange(min=0), metavar='REVISION')
@option.json_output
def diff(
    file: str | None, since: int | None, to: int | None, as_json: bool
) -> None:
    """Show what FILE would change, or what changed between revisions."""
    if file is None:
        path = exchange.path('diff', **{'from': since, 'to': to})
        body = runner.run(lambda client: client.get(path))
    elif since is not None or to is not None:
        raise click.UsageError('give FILE, or --from and --to')
    else:
        body = _compare(file)
    if as_json:
        output.print_json(body)
    else:
        history.show_changes(body['changes'])


def _compare(file: str) -> dict[str, Any]:
    """Compares a file with the active configuration."""
    wanted = document.load(file)
    data = runner.run(lambda client: client.get(exchange.path('config')))
    try:
        current = schema_check.check(model.Configuration, data, 'router')
    except schema_error.InvalidDocumentError as exc:
        raise failure.InvalidDocumentError(
            '\n'.join(exc.lines()),
            'A viewer gets masked secrets; comparing needs role operator.',
        ) from exc
    wanted.revision = current.revision
    changes = difference.difference(current, wanted)
    return {
        'from': current.revision,
        'to': file,
        'changes': [dataclasses.asdict(change) for change in changes],
    }


@group.command(name='history')
@history.limit
@option.json_output
def show_history(limit: int, as_json: bool) -> None:
    """Show who made the newest revisions."""
    history.show(None, limit, as_json)


@group.command()
@option.json_output
def status(as_json: bool) -> None:
    """Show which node has which revision in force."""
    fleet = runner.run(rollout.fetch_fleet)
    if as_json:
        output.print_json(
            {
                'complete': fleet.complete,
                'nodes': [node.to_json() for node in fleet.nodes],
            }
        )
        return
    rows = (
        [
            node.name,
            node.kind,
            node.availability_zone,
            node.state,
            node.revision,
            node.incarnation,
            node.address,
        ]
        for node in fleet.nodes
    )
    headers = (
        'NODE',
        'KIND',
        'ZONE',
        'STATE',
        'REVISION',
        'INCARNATION',
        'ADDRESS',
    )
    output.table(headers, rows)
    if not fleet.complete:
        click.echo('the store does not tell which routers are live', err=True)
