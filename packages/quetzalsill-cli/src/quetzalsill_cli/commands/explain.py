"""`quetzalsill explain`: explains outcomes of requests from the logs."""

from __future__ import annotations

import sys
from collections.abc import Iterator

import click

from quetzalsill_cli import failure, ledger, plot, request_log

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
@click.option(
    '--ledger',
    'as_ledger',
    is_flag=True,
    help='Count all requests by route, verdict and cause.',
)
@click.option(
    '--plot',
    'plot_path',
    type=click.Path(),
    metavar='FILE',
    help='With --ledger: draw late and lost requests over time.',
)
def command(
    request: str | None,
    files: tuple[str, ...],
    failed: bool,
    as_ledger: bool,
    plot_path: str | None,
) -> None:
    """Tell what became of the request with an id, from the logs."""
    if [request is not None, failed, as_ledger].count(True) != 1:
        raise failure.BadArgumentError(
            'one of the id of a request, --failed and --ledger is needed',
            'Take the id from the caller, or count the causes by --ledger.',
        )
    if plot_path and not as_ledger:
        raise failure.BadArgumentError(
            '--plot draws the ledger only', 'Add --ledger.'
        )
    if as_ledger:
        _print_ledger(ledger.build(_read_lines(files)), plot_path)
        return
    lines = request_log.read(_read_lines(files))
    if failed:
        _print_failed(lines)
        return
    found = request_log.select(lines, request)
    if not found:
        raise failure.NotFoundError(
            f'no line of the logs given names the request {request!r}',
            'Give the logs of all gateways of that time, by --log FILE.',
        )
    _print_request(found)


def _read_lines(files: tuple[str, ...]) -> Iterator[str]:
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


def _print_request(found: list[request_log.LogLine]) -> None:
    first = found[0].at
    for line in found:
        elapsed_ms = (line.at - first).total_seconds() * MS_PER_S
        click.echo(f'{elapsed_ms:10.1f} ms  {line.node}  {line.text}')
    nodes = list(request_log.node_names(found))
    if len(nodes) > 1:
        click.echo(
            f'Lines of {len(nodes)} processes, each by its own clock, which '
            'may differ: the order between them is not certain.'
        )
    click.echo(request_log.explain_outcome(found))


def _print_ledger(found: ledger.Ledger, plot_path: str | None) -> None:
    if not found.entries:
        raise failure.NotFoundError(
            'the logs given name no request',
            'Give the logs of gateways, by --log FILE.',
        )
    for text in ledger.format_table(found):
        click.echo(text)
    if plot_path:
        plot.draw(found, plot_path)
        click.echo(f'drawn: {plot_path}')


def _print_failed(lines: list[request_log.LogLine]) -> None:
    """Prints the cause of each request that was not served."""
    counts: dict[str, int] = {}
    for request in _unserved_requests(lines):
        cause = request_log.explain_outcome(request_log.select(lines, request))
        counts[cause] = counts.get(cause, 0) + 1
        click.echo(f'{request}  {cause}')
    for cause, count in sorted(counts.items(), key=lambda item: -item[1]):
        click.echo(f'{count:6}  {cause}')


def _unserved_requests(lines: list[request_log.LogLine]) -> list[str]:
    """Returns the ids of requests that were not served, in order."""
    requests: dict[str, None] = {}
    served = set()
    for line in lines:
        request = line.fields.get('request', '')
        if not request:
            continue
        requests.setdefault(request)
        if line.fields.get('outcome') == 'served':
            served.add(request)
    return [request for request in requests if request not in served]
