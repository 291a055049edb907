"""Prints revisions with their authors and changes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import click

from quetzalsill_cli import exchange, output, runner

__all__ = ['limit', 'show', 'show_changes']

limit = click.option(
    '--limit',
    type=click.IntRange(1, 100),
    default=20,
    show_default=True,
    help='Newest revisions to look through.',
)


def show(path: str | None, count: int, as_json: bool) -> None:
    """Prints the latest revisions; with a path, those that changed it."""
    body = runner.run(
        lambda client: client.get(
            exchange.path('history', limit=count, path=path)
        )
    )
    if as_json:
        output.print_json(body)
        return
    rows = (
        [e['revision'], e['at'], e['author'], e['edit'], e['note']]
        for e in body['entries']
    )
    output.table(('REVISION', 'AT', 'AUTHOR', 'EDIT', 'NOTE'), rows)
    for entry in body['entries']:
        if entry.get('changes'):
            click.echo(f'\nrevision {entry["revision"]}:')
            show_changes(entry['changes'])


def show_changes(changes: Iterable[dict[str, Any]]) -> None:
    """Prints the changes between two revisions."""
    rows = ([c['path'], c['before'], c['after']] for c in changes)
    output.table(('PATH', 'BEFORE', 'AFTER'), rows)
