"""Measures what callers observe during faults: `make bench-faults`.

For each mix: a calm phase, then the same traffic while faults are injected into
engines, sidecars, routers, links and the store on a seeded schedule. Exits with
status 1 if a request ran twice, was lost, got a corrupted answer or that of
another request, or ran although its caller was told that it did not.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import sys
import time
from typing import TYPE_CHECKING

import click

from quetzalsill_dev.bench.crowd import mix as mix_lib
from quetzalsill_dev.bench.faults import (
    callers,
    figures,
    probe,
    schedule,
    traffic,
)
from quetzalsill_dev.bench.faults import testbed as testbed_lib

if TYPE_CHECKING:
    from collections.abc import Iterator

FOLDER = pathlib.Path('bench-results')
CALM_S = 12.0
SPACING_S = 3.0
RATE = 15.0
PRINTED_FIGURES = (
    'asked', 'accepted', 'whole', 'refused', 'untrue_refusals', 'failed',
    'unknown', 'cut', 'doubled', 'lost', 'torn', 'foreign',
)  # fmt: skip


@dataclasses.dataclass(slots=True)
class Recovery:
    """Time to recover from one injection, in seconds, by probe profile."""

    name: str
    prompt_s: float
    patient_s: float


@dataclasses.dataclass(slots=True)
class Result:
    """Result of one mix."""

    mix: str
    seed: int
    calm: figures.Figures
    faults: figures.Figures
    recoveries: list[Recovery]
    broken: list[dict[str, object]]


async def _inject_all(
    testbed: testbed_lib.Testbed, injections: list[schedule.Injection]
) -> list[float]:
    """Makes each injection at its time; returns the actual times."""
    began = time.monotonic()
    times = []
    async with asyncio.TaskGroup() as group:
        for injection in injections:
            await asyncio.sleep(began + injection.at_s - time.monotonic())
            times.append(time.monotonic())
            group.create_task(testbed.inject(injection))
    return times


async def _measure(mix: str, seed: int, rate: float) -> Result:
    injections = schedule.generate(seed, SPACING_S)
    length_s = SPACING_S * (len(injections) + 1)
    async with (
        testbed_lib.open_testbed() as testbed,
        callers.Callers(testbed.cluster) as calm,
    ):
        prober = probe.Prober(testbed)
        probing = asyncio.create_task(prober.run())
        await calm.run(traffic.arrivals(mix, rate, CALM_S, 2 * seed))
        async with callers.Callers(testbed.cluster) as faulted:
            requests = traffic.arrivals(mix, rate, length_s, 2 * seed + 1)
            times, _ = await asyncio.gather(
                _inject_all(testbed, injections), faulted.run(requests)
            )
        probing.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await probing
        executions = await testbed.executions()
    ends = [*times[1:], times[-1] + 2 * SPACING_S]
    recoveries = [
        Recovery(
            injection.name,
            probe.recovery_time_s(prober.probes, 'prompt', begun, end),
            probe.recovery_time_s(prober.probes, 'patient', begun, end),
        )
        for injection, begun, end in zip(injections, times, ends, strict=True)
    ]
    return Result(
        mix,
        seed,
        figures.compute(calm.records, executions),
        figures.compute(faulted.records, executions),
        recoveries,
        list(_find_violations([*calm.records, *faulted.records], executions)),
    )


def _find_violations(
    records: list[callers.RequestRecord], executions: testbed_lib.Executions
) -> Iterator[dict[str, object]]:
    """Yields the details of each request with a violated guarantee."""
    for record in records:
        verdicts = list(figures.classify(record, executions))
        if set(verdicts) & set(figures.VIOLATIONS):
            details = dataclasses.asdict(record)
            yield details | {
                'verdicts': verdicts,
                'runs': executions.count(record.ask),
            }


def _lines(result: Result) -> Iterator[str]:
    yield f'{result.mix}, seed {result.seed}'
    yield f'{"":16}{"calm":>10}{"faults":>10}'
    for name in PRINTED_FIGURES:
        calm, faults = getattr(result.calm, name), getattr(result.faults, name)
        yield f'{name:16}{calm:10}{faults:10}'
    yield f'told under faults: {result.faults.codes}'
    yield 'stall time in s: p50, p99, max; calm, then faults'
    for kind, calm in result.calm.stalls.items():
        faults = result.faults.stalls.get(kind, calm)
        yield f'{kind:16}' + ''.join(
            f'{value:9.3f}'
            for stall in (calm, faults)
            for value in (stall.p50_s, stall.p99_s, stall.max_s)
        )
    yield 'time to recover in s: prompt, patient'
    for one in result.recoveries:
        yield f'{one.name:40}{one.prompt_s:8.2f}{one.patient_s:8.2f}'


@click.command()
@click.option('--mix', 'mixes', multiple=True, default=tuple(mix_lib.MIXES))
@click.option('--seed', default=1)
@click.option('--rate', default=RATE, help='Requests per second.')
def main(mixes: tuple[str, ...], seed: int, rate: float) -> None:
    """Runs the benchmark, prints its tables and writes JSON."""
    results = []
    for mix in mixes:
        results.append(asyncio.run(_measure(mix, seed, rate)))
        click.echo('\n'.join(_lines(results[-1])))
    FOLDER.mkdir(exist_ok=True)
    path = FOLDER / f'faults-{seed}.json'
    rows = [dataclasses.asdict(result) for result in results]
    path.write_text(json.dumps(rows, indent=2))
    click.echo(f'wrote {path}')
    violated = any(
        figures.has_violations(r.calm) or figures.has_violations(r.faults)
        for r in results
    )
    sys.exit(1 if violated else 0)


if __name__ == '__main__':
    main()
