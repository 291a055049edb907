"""Compares routing, admission and fairness on overloaded engines.

Uses real processes: routers, sidecars and engine stand-ins. Load 1.0 is the
throughput of the fleet when the `fewest` baseline is saturated in the same run.
The contenders of a cell run concurrently, each on its own fleet.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

import click

from quetzalsill_dev import cluster as cluster_lib
from quetzalsill_dev import launch
from quetzalsill_dev.bench.crowd import figures, fleet, mix, report, trial

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

WARM_UP_S = 15.0
SATURATION_CONCURRENCY = 150
SATURATION_RATE = 1000.0
SLOW_FACTOR = 3.0
REPORT_LAG_S = 5.0
CONDITIONS = ('calm', 'lost', 'slow', 'lag', 'greedy')
DRAIN_S = 15.0


@dataclasses.dataclass(slots=True)
class Plan:
    """Parameters of a run of the benchmark.

    Attributes:
      engines: Number of engines in the fleet.
      routers: Number of routers in the fleet.
      length_s: Length of a trial, in seconds.
      seeds: Number of trials per cell.
    """

    engines: int
    routers: int
    length_s: float
    seeds: int


@contextlib.asynccontextmanager
async def _cluster(
    plan: Plan, traffic: mix.Mix, contender: fleet.Contender
) -> AsyncIterator[cluster_lib.Cluster]:
    async with launch.Launcher() as launcher:
        started = cluster_lib.Cluster(
            launcher,
            fleet.fleet(plan.engines, plan.routers),
            fleet.configuration(traffic, contender),
        )
        await started.start()
        yield started


async def _measure_capacity(plan: Plan, traffic: mix.Mix) -> float:
    """Measures the requests per second that a saturated fleet completes."""
    contender = fleet.CONTENDERS['fewest']
    requests = mix.arrivals(traffic, SATURATION_RATE, plan.length_s, seed=0)
    async with (
        _cluster(plan, traffic, contender) as cluster,
        trial.LoadGenerator(cluster, traffic, contender) as generator,
    ):
        outcomes = await generator.saturate(
            requests, SATURATION_CONCURRENCY, plan.length_s
        )
    completed = [
        o
        for o in outcomes
        if o.is_complete and WARM_UP_S <= o.ended_s < plan.length_s
    ]
    # Counted in tokens, since requests that end early are the short ones.
    tokens_s = sum(o.tokens for o in completed) / (plan.length_s - WARM_UP_S)
    sample = list(mix.arrivals(traffic, SATURATION_RATE, 20.0, seed=0))
    return tokens_s * len(sample) / sum(request.tokens for request in sample)


async def _apply_condition(
    cluster: cluster_lib.Cluster, condition: str, after_s: float
) -> None:
    """Applies a condition, to the first engine in mid-run unless to all."""
    name = next(iter(cluster.upstreams))
    engine = cluster.upstreams[name]
    if condition == 'lag':
        for process in cluster.upstreams.values():
            await cluster.switch(
                process,
                lag_s=REPORT_LAG_S,
                cache_lag_s=REPORT_LAG_S,
                cache_gap=2,
            )
        return
    await asyncio.sleep(after_s)
    if condition == 'lost':
        engine.kill()
    elif condition == 'slow':
        await cluster.switch(engine, slow=SLOW_FACTOR)


async def _trial(
    plan: Plan,
    traffic: mix.Mix,
    contender: fleet.Contender,
    rate: float,
    seed: int,
    condition: str,
) -> figures.Figures:
    draw = mix.greedy_arrivals if condition == 'greedy' else mix.arrivals
    requests = list(draw(traffic, rate, plan.length_s, seed))
    async with (
        _cluster(plan, traffic, contender) as cluster,
        trial.LoadGenerator(cluster, traffic, contender) as generator,
    ):
        _, outcomes = await asyncio.gather(
            _apply_condition(cluster, condition, plan.length_s / 3),
            generator.run(requests, plan.length_s + DRAIN_S),
        )
        if condition == 'lost':
            cluster.upstreams.pop(next(iter(cluster.upstreams)))
        preempted = await trial.preemptions(cluster)
    for outcome in outcomes:
        if not outcome.is_complete:
            click.echo(f'{contender.name}, incomplete: {outcome.describe()}')
    return figures.compute(
        requests, outcomes, preempted, WARM_UP_S, plan.length_s
    )


async def _cell(
    plan: Plan,
    traffic: mix.Mix,
    load: float,
    capacity: float,
    condition: str,
    names: list[str],
) -> report.Cell:
    trials: dict[str, list[figures.Figures]] = {name: [] for name in names}
    for seed in range(plan.seeds):
        # Concurrent, so that other load on the machine affects all equally.
        found = await asyncio.gather(
            *(
                _trial(
                    plan,
                    traffic,
                    fleet.CONTENDERS[name],
                    load * capacity,
                    seed,
                    condition,
                )
                for name in names
            )
        )
        for name, row in zip(names, found, strict=True):
            trials[name].append(row)
    by_contender = {name: figures.mean(rows) for name, rows in trials.items()}
    return report.Cell(traffic.name, load, condition, plan.seeds, by_contender)


async def _run(
    plan: Plan,
    mixes: list[str],
    loads: list[float],
    conditions: list[str],
    names: list[str],
    capacity: float,
) -> list[report.Cell]:
    cells = []
    for mix_name in mixes:
        traffic = mix.MIXES[mix_name]
        full = capacity or await _measure_capacity(plan, traffic)
        click.echo(f'{mix_name}: load 1.0 is {full:.1f} requests/s')
        for condition in conditions:
            for load in loads:
                cell = await _cell(plan, traffic, load, full, condition, names)
                cells.append(cell)
                click.echo('\n'.join(report.lines(cell)))
    return cells


@click.command()
@click.option('--mix', 'mixes', multiple=True, default=tuple(mix.MIXES))
@click.option('--load', 'loads', multiple=True, type=float,
              default=(0.7, 0.9, 1.1, 1.5))  # fmt: skip
@click.option('--condition', 'conditions', multiple=True, default=('calm',),
              type=click.Choice(CONDITIONS))  # fmt: skip
@click.option('--contender', 'names', multiple=True,
              default=('rotate', 'fewest', 'ours', 'oracle'))  # fmt: skip
@click.option('--engines', default=2)
@click.option('--routers', default=1)
@click.option('--seconds', default=60.0, help='Length of a trial.')
@click.option('--seeds', default=5, help='Trials per cell.')
@click.option('--capacity', default=0.0, help='Requests/s; 0 measures it.')
@click.option('--name', default='crowd', help='Name of the result files.')
def main(
    mixes: tuple[str, ...],
    loads: tuple[float, ...],
    conditions: tuple[str, ...],
    names: tuple[str, ...],
    engines: int,
    routers: int,
    seconds: float,
    seeds: int,
    capacity: float,
    name: str,
) -> None:
    """Runs the benchmark, prints its tables, writes JSON and a plot."""
    plan = Plan(engines, routers, seconds, seeds)
    cells = asyncio.run(
        _run(plan, list(mixes), list(loads), list(conditions), list(names),
             capacity)
    )  # fmt: skip
    click.echo(f'wrote {report.write_json(cells, name)}')
    click.echo(f'wrote {report.plot(cells, name)}')


if __name__ == '__main__':
    main()
