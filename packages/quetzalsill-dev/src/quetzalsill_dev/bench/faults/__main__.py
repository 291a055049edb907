"""What callers see while parts fail: `make bench-faults`.

For each mix: a calm phase, then the same traffic while engines, sidecars,
routers, links and the store fail on a seeded schedule. Exit status 1 if a
request was doubled, lost, torn, given another's answer, or untruly refused.
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
    field,
    figures,
    probe,
    schedule,
    traffic,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

FOLDER = pathlib.Path('bench-results')
CALM_S = 12.0
SPACING_S = 3.0
RATE = 15.0
SHOWN = (
    'asked', 'accepted', 'whole', 'refused', 'untrue_refusals', 'failed',
    'unknown', 'cut', 'doubled', 'lost', 'torn', 'foreign',
)  # fmt: skip


@dataclasses.dataclass(slots=True)
class Recovery:
    """Time to recover from one strike, in seconds, by profile of probe."""

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


async def _strike_all(
    at: field.Field, strikes: list[schedule.Strike]
) -> list[float]:
    """Lets each strike come at its time; returns when each came."""
    began = time.monotonic()
    times = []
    async with asyncio.TaskGroup() as group:
        for strike in strikes:
            await asyncio.sleep(began + strike.at_s - time.monotonic())
            times.append(time.monotonic())
            group.create_task(at.strike(strike))
    return times


async def _measure(mix: str, seed: int, rate: float) -> Result:
    strikes = schedule.schedule(seed, SPACING_S)
    length_s = SPACING_S * (len(strikes) + 1)
    async with field.open_field() as at, callers.Callers(at.cluster) as calm:
        prober = probe.Prober(at)
        probing = asyncio.create_task(prober.run())
        await calm.play(traffic.arrivals(mix, rate, CALM_S, 2 * seed))
        async with callers.Callers(at.cluster) as struck:
            asks = traffic.arrivals(mix, rate, length_s, 2 * seed + 1)
            times, _ = await asyncio.gather(
                _strike_all(at, strikes), struck.play(asks)
            )
        probing.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await probing
        ran = await at.ran()
    ends = [*times[1:], times[-1] + 2 * SPACING_S]
    recoveries = [
        Recovery(
            strike.name,
            probe.recover_s(prober.probes, 'prompt', begun, end),
            probe.recover_s(prober.probes, 'patient', begun, end),
        )
        for strike, begun, end in zip(strikes, times, ends, strict=True)
    ]
    return Result(
        mix,
        seed,
        figures.figures(calm.told, ran),
        figures.figures(struck.told, ran),
        recoveries,
        list(_broken([*calm.told, *struck.told], ran)),
    )


def _broken(
    told: list[callers.Told], ran: field.Ran
) -> Iterator[dict[str, object]]:
    """Yields what is needed to look into each broken promise."""
    for one in told:
        verdicts = list(figures.judge(one, ran))
        if set(verdicts) & set(figures.MUST_BE_ZERO):
            plain = dataclasses.asdict(one)
            yield plain | {'verdicts': verdicts, 'runs': ran.count(one.ask)}


def _lines(result: Result) -> Iterator[str]:
    yield f'{result.mix}, seed {result.seed}'
    yield f'{"":16}{"calm":>10}{"faults":>10}'
    for name in SHOWN:
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
@click.option('--rate', default=RATE, help='Requests a second.')
def main(mixes: tuple[str, ...], seed: int, rate: float) -> None:
    """Runs the bench, prints its tables and writes JSON."""
    results = []
    for mix in mixes:
        results.append(asyncio.run(_measure(mix, seed, rate)))
        click.echo('\n'.join(_lines(results[-1])))
    FOLDER.mkdir(exist_ok=True)
    path = FOLDER / f'faults-{seed}.json'
    plain = [dataclasses.asdict(result) for result in results]
    path.write_text(json.dumps(plain, indent=2))
    click.echo(f'wrote {path}')
    broken = any(figures.faulty(r.calm) or figures.faulty(r.faults)
                 for r in results)  # fmt: skip
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    main()
