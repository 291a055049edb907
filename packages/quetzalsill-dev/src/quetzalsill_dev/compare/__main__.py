"""Compares ways on the same days and seeds: `make compare`.

A way is a checkout; the first is the one that stands. Reports are kept in a
folder, so that a comparison that was cut off goes on where it was.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import statistics

import click

from quetzalsill_dev.compare import play as play_lib
from quetzalsill_dev.compare import summary

__all__ = ['main']

Results = dict[play_lib.Play, play_lib.Figures]
# A count that differs by less is not worth a line.
LEAST_PRICE = 0.0005
LEAST_COUNT = 0.5


@click.command()
@click.option('--bench', required=True, type=click.Path(path_type=pathlib.Path))
@click.option(
    '--way',
    'ways',
    multiple=True,
    required=True,
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    help='Folder of a checkout; the standing way first.',
)
@click.option(
    '--site',
    'sites',
    multiple=True,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option('--day', 'days', multiple=True, required=True)
@click.option('--seed', 'seeds', multiple=True, type=int, default=(7,))
@click.option('--jobs', default=3, show_default=True)
@click.option('--small', is_flag=True, help='Small twins of the days.')
@click.option('--why', default='compare', show_default=True)
@click.option(
    '--folder',
    default='bench-results/compare',
    show_default=True,
    type=click.Path(path_type=pathlib.Path),
    help='Where reports are kept.',
)
def main(
    bench: pathlib.Path,
    ways: tuple[pathlib.Path, ...],
    sites: tuple[pathlib.Path, ...],
    days: tuple[str, ...],
    seeds: tuple[int, ...],
    jobs: int,
    small: bool,
    why: str,
    folder: pathlib.Path,
) -> None:
    """Prints what each way changes, by site and day."""
    folder = folder.resolve()
    folder.mkdir(parents=True, exist_ok=True)
    plays = [
        play_lib.Play(way.resolve(), site.resolve(), day, seed, small)
        for site in sites
        for day in days
        for seed in seeds
        for way in ways
    ]
    results = asyncio.run(_play_all(bench.resolve(), plays, folder, why, jobs))
    rows = _rows(results, ways)
    for line in _table(rows, ways):
        click.echo(line)
    (folder / 'summary.json').write_text(json.dumps(rows, indent=1))


async def _play_all(
    bench: pathlib.Path,
    plays: list[play_lib.Play],
    folder: pathlib.Path,
    why: str,
    jobs: int,
) -> Results:
    places = asyncio.Semaphore(jobs)
    results: Results = {}

    async def work(one: play_lib.Play) -> None:
        async with places:
            try:
                found = await play_lib.play(bench, one, folder, why)
            except play_lib.PlayError as exc:
                click.echo(f'left out: {exc}', err=True)
                return
        results[one] = found
        broken = ' '.join(found.broken)
        click.echo(f'{one.way.name} {one.key} {found.worth:.3f} {broken}')

    async with asyncio.TaskGroup() as group:
        for one in plays:
            group.create_task(work(one))
    return results


def _pairs(
    results: Results, first: pathlib.Path, other: pathlib.Path
) -> list[tuple[play_lib.Figures, play_lib.Figures, str]]:
    by_way: dict[pathlib.Path, dict] = {}
    for one, found in results.items():
        by_way.setdefault(one.way, {})[one.key] = found
    before = by_way.get(first.resolve(), {})
    after = by_way.get(other.resolve(), {})
    return [
        (before[key], after[key], key[0])
        for key in sorted(before.keys() & after.keys())
    ]


def _rows(results: Results, ways: tuple[pathlib.Path, ...]) -> list[dict]:
    rows = []
    for other in ways[1:]:
        pairs = _pairs(results, ways[0], other)
        for site in sorted({site for _, _, site in pairs}):
            of_site = [(a, b) for a, b, where in pairs if where == site]
            found = summary.between([(a.worth, b.worth) for a, b in of_site])
            rows.append(
                {
                    'way': other.name,
                    'site': site,
                    'pairs': len(of_site),
                    'worth': found.mean,
                    'low': found.low,
                    'high': found.high,
                    'before': statistics.fmean(a.worth for a, _ in of_site),
                    'after': statistics.fmean(b.worth for _, b in of_site),
                    'counts': _means(of_site),
                }
            )
    return rows


def _means(
    pairs: list[tuple[play_lib.Figures, play_lib.Figures]],
) -> dict[str, tuple[float, float]]:
    """Returns the mean of each count, before and after."""
    names = pairs[0][0].counts
    return {
        name: (
            statistics.fmean(a.counts.get(name, 0.0) for a, _ in pairs),
            statistics.fmean(b.counts.get(name, 0.0) for _, b in pairs),
        )
        for name in names
    }


def _table(rows: list[dict], ways: tuple[pathlib.Path, ...]) -> list[str]:
    lines = [f'against {ways[0].name}; mean of pairs, and nine tenths of draws']
    for row in rows:
        lines.append(
            f'{row["way"]} {row["site"]} ({row["pairs"]}): '
            f'{row["before"]:.3f} -> {row["after"]:.3f}, {row["worth"]:+.4f} '
            f'[{row["low"]:+.4f}, {row["high"]:+.4f}]'
        )
        for name, (before, after) in row['counts'].items():
            least = LEAST_PRICE if before < 1 and after < 1 else LEAST_COUNT
            if abs(after - before) >= least:
                lines.append(f'    {name}: {before:.4g} -> {after:.4g}')
    return lines


if __name__ == '__main__':
    main()
