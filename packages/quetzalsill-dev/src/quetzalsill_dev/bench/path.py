"""Measures the overhead of router and sidecar: `make bench-path`.

One run alternates between direct calls of an engine stand-in and calls through
router and sidecar. Latency is reported as difference and as ratio to the direct
call, processor time as tokens per core second of a process.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import pathlib
import statistics
import time
from typing import TYPE_CHECKING, Any

from quetzalsill_dev import board, caller, cluster, launch, layout
from quetzalsill_dev.bench import processor_time

if TYPE_CHECKING:
    import httpx2

__all__ = ['main']

RESULT_FILE = pathlib.Path('bench-results/path.json')
ENGINE = 'model-1'
ROUTER = 'entry-1'
ZONE = board.ZONES[0]
WARM_UP_PAIRS = 10
TOKENS = 50
LOAD_TOKENS = 300
CONCURRENCIES = (8, 64)


class WrongAnswerError(Exception):
    """An answer was incomplete, so that its times are meaningless."""


@dataclasses.dataclass(slots=True)
class Sample:
    """Latencies of one answer, in milliseconds."""

    first_token_ms: float
    token_ms: float


def _layout() -> layout.Layout:
    engine = layout.EngineSpec(
        ENGINE,
        ZONE,
        models=[board.MODEL],
        capacity_tokens=200_000,
        max_batch=256,
        token_s=0.005,
    )
    return layout.Layout([engine], [], [layout.RouterSpec(ROUTER, ZONE)])


async def _generate(client: httpx2.AsyncClient, tokens: int) -> caller.Response:
    prompt = f'Delivery slots? [[tokens={tokens}]]'
    body = {'model': board.MODEL, 'prompt': prompt}
    answer = await caller.generate(client, body)
    if len(answer.texts) != tokens or not answer.is_complete:
        raise WrongAnswerError(f'{answer.status} {answer.error}')
    return answer


def _make_sample(answer: caller.Response) -> Sample:
    duration_s = answer.arrivals[-1] - answer.arrivals[0]
    gaps = len(answer.arrivals) - 1
    return Sample(1000 * answer.first_token_s, 1000 * duration_s / gaps)


async def _measure_latency(
    direct: httpx2.AsyncClient, path: httpx2.AsyncClient, pairs: int
) -> dict[str, Any]:
    """Alternates direct and path calls, swapping their order in each pair."""
    samples: dict[str, list[Sample]] = {'direct': [], 'path': []}
    clients = [('direct', direct), ('path', path)]
    for _ in range(WARM_UP_PAIRS):
        for _, client in clients:
            await _generate(client, TOKENS)
    for _ in range(pairs):
        for name, client in clients:
            samples[name].append(_make_sample(await _generate(client, TOKENS)))
        clients.reverse()
    return {
        figure: _compare(
            [getattr(sample, figure) for sample in samples['direct']],
            [getattr(sample, figure) for sample in samples['path']],
        )
        for figure in ('first_token_ms', 'token_ms')
    }


def _compare(direct: list[float], path: list[float]) -> dict[str, Any]:
    compared: dict[str, Any] = {}
    for name, percent in (('p50', 50), ('p95', 95)):
        before = statistics.quantiles(direct, n=100)[percent - 1]
        after = statistics.quantiles(path, n=100)[percent - 1]
        compared[name] = {
            'direct': before,
            'path': after,
            'added': after - before,
            'ratio': after / before,
        }
    return compared


async def _measure_load(
    client: httpx2.AsyncClient,
    processes: dict[str, launch.Process],
    streams: int,
) -> dict[str, Any]:
    """Measures tokens per core second of each process at a concurrency."""
    before = {
        name: processor_time.processor_time_s(process.pid)
        for name, process in processes.items()
    }
    start = time.monotonic()
    calls = [_generate(client, LOAD_TOKENS) for _ in range(streams)]
    answers = await asyncio.gather(*calls)
    wall_s = time.monotonic() - start
    tokens = sum(len(answer.texts) for answer in answers)
    result: dict[str, Any] = {
        'streams': streams,
        'tokens': tokens,
        'tokens_per_s': tokens / wall_s,
    }
    for name, process in processes.items():
        used_s = processor_time.processor_time_s(process.pid) - before[name]
        result[f'{name}_core_s'] = used_s
        result[f'{name}_tokens_per_core_s'] = tokens / used_s
    return result


async def _measure(pairs: int) -> dict[str, Any]:
    async with launch.Launcher() as launcher:
        started = cluster.Cluster(launcher, _layout())
        await started.start()
        router = started.routers[ROUTER]
        processes = {'router': router, 'sidecar': started.sidecars[ENGINE]}
        token = board.TOKENS['retailers']
        async with (
            caller.open_client(started.upstreams[ENGINE].url) as direct,
            caller.open_client(router.url, token) as path,
        ):
            latency = await _measure_latency(direct, path, pairs)
            loads = [
                await _measure_load(path, processes, streams)
                for streams in CONCURRENCIES
            ]
    return {'pairs': pairs, 'latency': latency, 'loads': loads}


def _print_figures(result: dict[str, Any]) -> None:
    print(f'{result["pairs"]} pairs of {TOKENS} tokens, in turns')
    for figure, compared in result['latency'].items():
        for name, values in compared.items():
            print(
                f'{figure:15} {name}: direct {values["direct"]:.3f} '
                f'path {values["path"]:.3f} added {values["added"]:+.3f} '
                f'ratio {values["ratio"]:.3f}'
            )
    for load in result['loads']:
        print(
            f'{load["streams"]} streams, {load["tokens_per_s"]:.0f} tokens/s: '
            f'router {load["router_tokens_per_core_s"]:.0f} and sidecar '
            f'{load["sidecar_tokens_per_core_s"]:.0f} tokens per core second'
        )


def main() -> None:
    """Runs the measurement, prints the figures and writes them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--pairs', type=int, default=200)
    result = asyncio.run(_measure(parser.parse_args().pairs))
    _print_figures(result)
    RESULT_FILE.parent.mkdir(exist_ok=True)
    RESULT_FILE.write_text(json.dumps(result, indent=2))


if __name__ == '__main__':
    main()
