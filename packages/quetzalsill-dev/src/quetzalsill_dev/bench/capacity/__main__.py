"""Measures the slopes for docs/CAPACITY.md, in full or in parts."""

from __future__ import annotations

import datetime
import json
import pathlib
import time
from typing import TYPE_CHECKING, Any

import click

from quetzalsill_dev.bench.capacity import (
    configuration,
    edits,
    links,
    series,
    startup,
    store,
    subsets,
    throughput,
    worksheet,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

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
@click.option(
    '--table', is_flag=True, help='Print the table of stored results only.'
)
def main(parts: tuple[str, ...], table: bool) -> None:
    """Measures PARTS, or all, and prints the figures at the target size."""
    for part in () if table else parts or PARTS:
        began = time.monotonic()
        found = list(PARTS[part]())
        for each in found:
            _print_series(each)
        _store_series(part, found)
        print(f'# {part}: {time.monotonic() - began:.0f} s of wall time\n')
    stored = _load_results()
    if stored.keys() >= PARTS.keys():
        found = {each.name: each for each in _parse_series(stored)}
        for line in worksheet.lines(worksheet.extrapolate(found)):
            print(line)


def _print_series(found: series.Series) -> None:
    points = ' '.join(f'{size:g}:{value:.4g}' for size, value in found.points)
    print(f'{found.name} [{found.unit}] by {found.by}: {points}')
    if found.linear:
        print(f'    base {found.base:.4g}, slope {found.slope:.4g}', flush=True)


def _store_series(part: str, found: Iterable[series.Series]) -> None:
    """Replaces the stored series of a part."""
    RESULT_FILE.parent.mkdir(exist_ok=True)
    stored = _load_results()
    now = datetime.datetime.now(datetime.UTC)
    stored[part] = {
        'at': now.isoformat(timespec='seconds'),
        'series': [_to_json(each) for each in found],
    }
    RESULT_FILE.write_text(json.dumps(stored, indent=2))


def _load_results() -> dict[str, Any]:
    return json.loads(RESULT_FILE.read_text()) if RESULT_FILE.exists() else {}


def _parse_series(stored: dict[str, Any]) -> Iterator[series.Series]:
    for part in stored.values():
        for stored_series in part['series']:
            yield series.Series(
                stored_series['name'],
                stored_series['unit'],
                stored_series['by'],
                points=[tuple(point) for point in stored_series['points']],
            )


def _to_json(found: series.Series) -> dict[str, object]:
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
