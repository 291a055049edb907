"""Measures the slopes of docs/CAPACITY.md, all or some parts of them."""

from __future__ import annotations

import datetime
import json
import pathlib
import time
from typing import TYPE_CHECKING

import click

from quetzalsill_dev.bench.capacity import (
    configuration,
    edits,
    links,
    startup,
    store,
    subsets,
    throughput,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill_dev.bench.capacity import series

__all__ = ['main']

RESULT_FILE = pathlib.Path('bench-results/capacity.json')
PARTS = {
    'configuration': configuration.measure,
    'edits': edits.measure,
    'links-router': links.measure_router,
    'links-sidecar': links.measure_sidecar,
    'startup': startup.measure,
    'store': store.measure,
    'subsets': subsets.measure,
    'throughput': throughput.measure,
}


@click.command()
@click.argument('parts', nargs=-1, type=click.Choice(list(PARTS)))
def main(parts: tuple[str, ...]) -> None:
    """Measures PARTS; all of them if none is named."""
    for part in parts or PARTS:
        began = time.monotonic()
        found = list(PARTS[part]())
        for each in found:
            _print(each)
        _store(part, found)
        print(f'# {part}: {time.monotonic() - began:.0f} s of wall time\n')


def _print(found: series.Series) -> None:
    points = ' '.join(f'{size:g}:{value:.4g}' for size, value in found.points)
    print(f'{found.name} [{found.unit}] by {found.by}: {points}')
    if found.linear:
        print(f'    base {found.base:.4g}, slope {found.slope:.4g}', flush=True)


def _store(part: str, found: Iterable[series.Series]) -> None:
    """Puts the series of a part in place of its former ones."""
    RESULT_FILE.parent.mkdir(exist_ok=True)
    stored = {}
    if RESULT_FILE.exists():
        stored = json.loads(RESULT_FILE.read_text())
    now = datetime.datetime.now(datetime.UTC)
    stored[part] = {
        'at': now.isoformat(timespec='seconds'),
        'series': [_plain(each) for each in found],
    }
    RESULT_FILE.write_text(json.dumps(stored, indent=2))


def _plain(found: series.Series) -> dict[str, object]:
    return {
        'name': found.name,
        'unit': found.unit,
        'by': found.by,
        'points': found.points,
        'base': found.base,
        'slope': found.slope,
    }


if __name__ == '__main__':
    main()
