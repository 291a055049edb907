"""`quetzalsill explain`: the story of one request, from the logs."""

from __future__ import annotations

import sys
from collections.abc import Iterator

import click

from quetzalsill_cli import failure, story

__all__ = ['command']

MS_PER_S = 1000


@click.command(name='explain')
@click.argument('request', required=False)
@click.option(
    '--log',
    'files',
    multiple=True,
    type=click.Path(),
    metavar='FILE',
    help='Log of a process, any number of them; standard input if none.',
)
@click.option(
    '--failed',
    is_flag=True,
    help='Name the cause of each request that was not served.',
)
def command(request: str | None, files: tuple[str, ...], failed: bool) -> None:
    """Tell what became of the request with an id, from the logs."""
    if failed == (request is not None):
        raise failure.BadArgumentError(
            'either the id of a request or --failed is needed',
            'Take the id from the caller, or list the causes by --failed.',
        )
    lines = story.read(_read(files))
    if failed:
        _tell_failed(lines)
        return
    found = story.select(lines, request)
    if not found:
        raise failure.NotFoundError(
            f'no line of the logs given names the request {request!r}',
            'Give the logs of all gateways of that time, by --log FILE.',
        )
    _tell(found)


def _read(files: tuple[str, ...]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for name in files:
        try:
            with open(name, encoding='utf-8', errors='replace') as file:
                yield from file
        except OSError as exc:
            raise failure.BadArgumentError(
                f'{name}: {exc.strerror or exc}', 'Give a file that exists.'
            ) from exc


def _tell(found: list[story.Line]) -> None:
    first = found[0].at
    for line in found:
        after_ms = (line.at - first).total_seconds() * MS_PER_S
        click.echo(f'{after_ms:10.1f} ms  {line.node}  {line.text}')
    nodes = list(story.nodes_apart(found))
    if len(nodes) > 1:
        click.echo(
            f'Lines of {len(nodes)} processes, each by its own clock, which '
            'may differ: the order between them is not certain.'
        )
    click.echo(story.cause(found))


def _tell_failed(lines: list[story.Line]) -> None:
    """Prints the cause of each request that was not served."""
    counts: dict[str, int] = {}
    for request in _failed(lines):
        cause = story.cause(story.select(lines, request))
        counts[cause] = counts.get(cause, 0) + 1
        click.echo(f'{request}  {cause}')
    for cause, count in sorted(counts.items(), key=lambda item: -item[1]):
        click.echo(f'{count:6}  {cause}')


def _failed(lines: list[story.Line]) -> list[str]:
    """Returns the ids of requests without a good end, in order."""
    begun: dict[str, None] = {}
    served = set()
    for line in lines:
        request = line.fields.get('request', '')
        if not request:
            continue
        begun.setdefault(request)
        if line.fields.get('outcome') == 'served':
            served.add(request)
    return [request for request in begun if request not in served]
