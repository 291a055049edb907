"""`quetzalsill account`: client accounts and their limits."""

from __future__ import annotations

import click

from quetzalsill_cli import (
    assignment,
    edit,
    exchange,
    option,
    output,
    perform,
    routers,
)

__all__ = ['group']

_LIMITS = ('concurrency', 'requests_per_minute', 'tokens_per_minute')


@click.group(name='account')
def group() -> None:
    """Client accounts and their limits."""


@group.command(name='list')
@option.json_output
def list_accounts(as_json: bool) -> None:
    """List the client accounts."""
    body = perform.run(lambda links: links.read(exchange.path('accounts')))
    if as_json:
        output.print_json(body)
        return
    heads = ('NAME', 'PROFILE', 'WEIGHT', 'TOKENS', *map(str.upper, _LIMITS))
    rows = (
        [
            name,
            account['default_profile'],
            account['weight'],
            _token_count(account['token_sha256']),
            *(account['limits'][key] for key in _LIMITS),
        ]
        for name, account in sorted(body['value'].items())
    )
    output.table(heads, rows)


def _token_count(tokens: object) -> object:
    """Counts the tokens; viewers get a mask in their place."""
    return len(tokens) if isinstance(tokens, list) else tokens


@group.command()
@click.argument('name')
@option.json_output
def show(name: str, as_json: bool) -> None:
    """Show every key of one client account."""
    perform.show('accounts', name, as_json=as_json)


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

    async def work(links: routers.Routers) -> None:
        body = await links.read(path)
        if assignments:
            changed = assignment.apply(body['value'], assignments)
            revision = body['revision'] if expect is None else expect
            wanted = edit.Edit('PUT', path, changed, revision, note)
            await perform.carry_out(links, wanted, wait)
        elif as_json:
            output.print_json(body)
        else:
            output.pairs(body['value'])

    perform.run(work)
