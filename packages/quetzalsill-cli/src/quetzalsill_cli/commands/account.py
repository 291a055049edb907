"""`quetzalsill account`: client accounts and their limits."""

from __future__ import annotations

import click

from quetzalsill_cli import (
    assignment,
    edit,
    exchange,
    option,
    output,
    router_client,
    runner,
)

__all__ = ['group']

_LIMIT_KEYS = ('concurrency', 'requests_per_minute', 'tokens_per_minute')


@click.group(name='account')
def group() -> None:
    """Client accounts and their limits."""


@group.command(name='list')
@option.json_output
def list_accounts(as_json: bool) -> None:
    """List the client accounts."""
    body = runner.run(lambda client: client.get(exchange.path('accounts')))
    if as_json:
        output.print_json(body)
        return
    headers = (
        'NAME',
        'PROFILE',
        'WEIGHT',
        'TOKENS',
        *map(str.upper, _LIMIT_KEYS),
    )
    rows = (
        [
            name,
            account['default_profile'],
            account['weight'],
            _token_count(account['token_sha256']),
            *(account['limits'][key] for key in _LIMIT_KEYS),
        ]
        for name, account in sorted(body['value'].items())
    )
    output.table(headers, rows)


def _token_count(tokens: object) -> object:
    """Returns the number of tokens, or the mask that viewers receive."""
    return len(tokens) if isinstance(tokens, list) else tokens


@group.command()
@click.argument('name')
@option.json_output
def show(name: str, as_json: bool) -> None:
    """Show every key of one client account."""
    runner.show('accounts', name, as_json=as_json)


@group.command()
@click.argument('name')
@option.assignments(
    'Change one limit; repeatable. Without it the limits are shown.'
)
@option.expect
@option.note
@option.wait
@option.json_output
def limits(
    name: str,
    assignments: tuple[str, ...],
    expect: int | None,
    note: str,
    wait: bool,
    as_json: bool,
) -> None:
    """Show or change the limits of a client account; 0 is no bound."""
    path = exchange.path('accounts', name, 'limits')

    async def read_or_change(client: router_client.RouterClient) -> None:
        body = await client.get(path)
        if assignments:
            changed = assignment.apply(body['value'], assignments)
            revision = body['revision'] if expect is None else expect
            new_edit = edit.Edit('PUT', path, changed, revision, note)
            await runner.submit_edit(client, new_edit, wait)
        elif as_json:
            output.print_json(body)
        else:
            output.key_values(body['value'])

    runner.run(read_or_change)
