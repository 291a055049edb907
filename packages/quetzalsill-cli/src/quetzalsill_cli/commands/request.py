"""`quetzalsill request`: requests of callers."""

from __future__ import annotations

from typing import Any

import click

from quetzalsill_cli import exchange, failure, option, output, perform, routers

__all__ = ['group']


@click.group(name='request')
def group() -> None:
    """Requests of callers."""


async def _ask(links: routers.Routers, method: str, request: str) -> Any:
    """Asks the routers in turn until one knows the request.

    A request that is not durable is known only to the router that took it.

    Raises:
      NotFoundError: None of them knows it.
      OutcomeUnknownError: A cancellation was sent and not confirmed.
      UnreachableError: None could serve the call.
    """
    call = exchange.Call(method, exchange.path('requests', request))
    unsure, lines, unknown = [], [], None
    for url in links.urls:
        try:
            answer = await links.ask(url, call)
        except exchange.NotSentError as exc:
            lines.append(exc.detail)
            continue
        except exchange.AnswerLostError as exc:
            unsure.append(exc.detail)
            continue
        if answer.status == 404:
            unknown = failure.from_answer(answer.status, answer.body)
        elif answer.status == 503:
            reason = failure.from_answer(answer.status, answer.body)
            lines.append(f'{url}: {reason.message}')
        else:
            return routers.accepted(answer)
    if unsure and method != 'GET':
        raise failure.OutcomeUnknownError(
            '\n'.join(['the cancellation was not confirmed:', *unsure]),
            'Cancel it again: a request is cancelled once at most.',
        )
    if unknown is not None and not lines and not unsure:
        raise unknown
    raise routers.unreachable([*lines, *unsure])


@group.command()
@click.argument('request')
@option.json_output
def show(request: str, as_json: bool) -> None:
    """Show the state of a request."""
    body = perform.run(lambda links: _ask(links, 'GET', request))
    if as_json:
        output.print_json(body)
    else:
        output.pairs(body)


@group.command()
@click.argument('request')
def cancel(request: str) -> None:
    """Cancel a request and stop its work on the upstream."""
    body = perform.run(lambda links: _ask(links, 'DELETE', request))
    click.echo(f'request {request}: {body["code"] or body["state"]}')
