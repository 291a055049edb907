"""Compares checkouts on the same days and seeds: `make compare`.

The first checkout is the baseline. Reports are kept in a folder, so that an
interrupted comparison resumes without repeating finished runs.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import statistics

import click

from quetzalsill_dev.compare import benchmark_run, summary

__all__ = ['main']

Results = dict[benchmark_run.Run, benchmark_run.Figures]
# Smaller changes of a price or a count are not printed.
MIN_PRICE_CHANGE = 0.0005
MIN_COUNT_CHANGE = 0.5


@click.command()
@click.option('--bench', required=True, type=click.Path(path_type=pathlib.Path))
@click.option(
    '--way',
    'checkouts',
    multiple=True,
    required=True,
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    help='Folder of a checkout; the baseline first.',
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
@click.option(
    '--small', is_flag=True, help='Use the small variants of the days.'
)
@click.option('--why', default='compare', show_default=True)
@click.option(
    '--folder',
    default='bench-results/compare',
    show_default=True,
    type=click.Path(path_type=pathlib.Path),
    help='Folder in which reports are kept.',
)
def main(
    bench: pathlib.Path,
    checkouts: tuple[pathlib.Path, ...],
    sites: tuple[pathlib.Path, ...],
    days: tuple[str, ...],
    seeds: tuple[int, ...],
    jobs: int,
    small: bool,
    why: str,
    folder: pathlib.Path,
) -> None:
    """Prints how each checkout differs from the baseline, by site and day."""
    folder = folder.resolve()
    folder.mkdir(parents=True, exist_ok=True)
    runs = [
        benchmark_run.Run(checkout.resolve(), site.resolve(), day, seed, small)
        for site in sites
        for day in days
        for seed in seeds
        for checkout in checkouts
    ]
    results = asyncio.run(_run_all(bench.resolve(), runs, folder, why, jobs))
    rows = _rows(results, checkouts)
    for line in _table(rows, checkouts):
        click.echo(line)
    (folder / 'summary.json').write_text(json.dumps(rows, indent=1))


async def _run_all(
    bench: pathlib.Path,
    runs: list[benchmark_run.Run],
    folder: pathlib.Path,
    why: str,
    jobs: int,
) -> Results:
    slots = asyncio.Semaphore(jobs)
    results: Results = {}

    async def run_one(one: benchmark_run.Run) -> None:
        async with slots:
            try:
                found = await benchmark_run.run_benchmark(
                    bench, one, folder, why
                )
            except benchmark_run.MissingReportError as exc:
                click.echo(f'skipped: {exc}', err=True)
                return
        results[one] = found
        violations = ' '.join(found.violations)
        click.echo(
            f'{one.checkout.name} {one.key} {found.score:.3f} {violations}'
        )

    async with asyncio.TaskGroup() as group:
        for one in runs:
            group.create_task(run_one(one))
    return results


def _pairs(
    results: Results, baseline: pathlib.Path, other: pathlib.Path
) -> list[tuple[benchmark_run.Figures, benchmark_run.Figures, str]]:
    by_checkout: dict[pathlib.Path, dict] = {}
    for one, found in results.items():
        by_checkout.setdefault(one.checkout, {})[one.key] = found
    before = by_checkout.get(baseline.resolve(), {})
    after = by_checkout.get(other.resolve(), {})
    return [
        (before[key], after[key], key[0])
        for key in sorted(before.keys() & after.keys())
    ]


def _rows(results: Results, checkouts: tuple[pathlib.Path, ...]) -> list[dict]:
    rows = []
    for other in checkouts[1:]:
        pairs = _pairs(results, checkouts[0], other)
        for site in sorted({site for _, _, site in pairs}):
            of_site = [(a, b) for a, b, where in pairs if where == site]
            found = summary.between([(a.score, b.score) for a, b in of_site])
            rows.append(
                {
                    'way': other.name,
                    'site': site,
                    'pairs': len(of_site),
                    'worth': found.mean,
                    'low': found.low,
                    'high': found.high,
                    'before': statistics.fmean(a.score for a, _ in of_site),
                    'after': statistics.fmean(b.score for _, b in of_site),
                    'counts': _means(of_site),
                }
            )
    return rows


def _means(
    pairs: list[tuple[benchmark_run.Figures, benchmark_run.Figures]],
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


def _table(rows: list[dict], checkouts: tuple[pathlib.Path, ...]) -> list[str]:
    lines = [
        f'against {checkouts[0].name}; mean of pairs and its 90 % interval'
    ]
    for row in rows:
        lines.append(
            f'{row["way"]} {row["site"]} ({row["pairs"]}): '
            f'{row["before"]:.3f} -> {row["after"]:.3f}, {row["worth"]:+.4f} '
            f'[{row["low"]:+.4f}, {row["high"]:+.4f}]'
        )
        for name, (before, after) in row['counts'].items():
            min_change = (
                MIN_PRICE_CHANGE
                if before < 1 and after < 1
                else MIN_COUNT_CHANGE
            )
            if abs(after - before) >= min_change:
                lines.append(f'    {name}: {before:.4g} -> {after:.4g}')
    return lines


if __name__ == '__main__':
    main()
