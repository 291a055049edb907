"""`quetzalsill request`: shows and cancels callers' requests."""

from __future__ import annotations

from typing import Any

import click

from quetzalsill_cli import (
    exchange,
    failure,
    option,
    output,
    router_client,
    runner,
)

__all__ = ['group']


@click.group(name='request')
def group() -> None:
    """Requests of callers."""


async def _call_routers(
    client: router_client.RouterClient, method: str, request: str
) -> Any:
    """Queries the routers in turn until one knows the request.

    A request that is not durable is known only to the router that accepted it.

    Raises:
      NotFoundError: No router knows the request.
      OutcomeUnknownError: A cancellation was sent but not confirmed.
      UnreachableError: No router could serve the call.
    """
    call = exchange.Call(method, exchange.path('requests', request))
    unconfirmed, errors, not_found = [], [], None
    for url in client.urls:
        try:
            resp = await client.send(url, call)
        except exchange.NotSentError as exc:
            errors.append(exc.detail)
            continue
        except exchange.ResponseLostError as exc:
            unconfirmed.append(exc.detail)
            continue
        if resp.status == 404:
            not_found = failure.from_response(resp.status, resp.body)
        elif resp.status == 503:
            reason = failure.from_response(resp.status, resp.body)
            errors.append(f'{url}: {reason.message}')
        else:
            return router_client.require_success(resp)
    if unconfirmed and method != 'GET':
        raise failure.OutcomeUnknownError(
            '\n'.join(['the cancellation was not confirmed:', *unconfirmed]),
            'Cancel it again: a request is cancelled once at most.',
        )
    if not_found is not None and not errors and not unconfirmed:
        raise not_found
    raise router_client.unreachable_error([*errors, *unconfirmed])


@group.command()
@click.argument('request')
@option.json_output
def show(request: str, as_json: bool) -> None:
    """Show the state of a request."""
    body = runner.run(lambda client: _call_routers(client, 'GET', request))
    if as_json:
        output.print_json(body)
    else:
        output.key_values(body)


@group.command()
@click.argument('request')
def cancel(request: str) -> None:
    """Cancel a request and stop its work on the upstream."""
    body = runner.run(lambda client: _call_routers(client, 'DELETE', request))
    click.echo(f'request {request}: {body["code"] or body["state"]}')
