"""Measures processor time and memory of requests in a router and a sidecar.

Real processes in front of an engine stand-in that generates a token every 43 ms
for each stream, so that tokens of a stream have the same spacing as at the
target size. Processor time is measured rather than wall time, so that the speed
of the engine and of the callers does not matter.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_dev import board, caller, cluster, launch, layout
from quetzalsill_dev.bench.capacity import series, usage

if TYPE_CHECKING:
    from collections.abc import Iterable

    import httpx2

__all__ = ['measure']

ENGINE = 'server-0000'
ROUTER = 'entry-1'
ZONE = board.ZONES[0]
TOKEN_S = 0.043
STREAM_COUNTS = (25, 50, 100, 200)
STREAM_TOKENS = 100
ANSWER_LENGTHS = (10, 50, 200)
LENGTH_STREAMS = 100
REQUESTS = {10: 600, 50: 200, 200: 100}


class WrongAnswerError(Exception):
    """An answer was incomplete, so that its cost is meaningless."""


def measure() -> Iterable[series.Series]:
    """Measures by number of concurrent streams and by answer length."""
    return asyncio.run(_measure())


async def _measure() -> list[series.Series]:
    engine = layout.EngineSpec(
        ENGINE,
        ZONE,
        models=[board.MODEL],
        capacity_tokens=500_000,
        max_batch=256,
        token_s=TOKEN_S,
    )
    spec = layout.Layout([engine], [], [layout.RouterSpec(ROUTER, ZONE)])
    async with launch.Launcher() as launcher:
        started = cluster.Cluster(launcher, spec)
        await started.start()
        router = started.routers[ROUTER]
        processes = {'router': router, 'sidecar': started.sidecars[ENGINE]}
        token = board.TOKENS['retailers']
        async with caller.open_client(router.url, token) as client:
            await _generate_all(client, LENGTH_STREAMS, LENGTH_STREAMS, 5)
            by_streams = await _by_streams(client, processes)
            by_length = await _by_length(client, processes)
    return [*by_streams, *by_length]


async def _by_streams(
    client: httpx2.AsyncClient, processes: dict[str, launch.Process]
) -> list[series.Series]:
    found = {
        (role, figure): series.Series(
            f'throughput.{role} {figure}', unit, 'streams', linear
        )
        for role in processes
        for figure, unit, linear in (
            ('resident', 'bytes', True),
            ('tokens per core second', 'tokens', False),
        )
    }
    for streams in STREAM_COUNTS:
        before = _read_core_s(processes)
        task = asyncio.create_task(
            _generate_all(client, streams, streams, STREAM_TOKENS)
        )
        await asyncio.sleep(STREAM_TOKENS * TOKEN_S / 2)
        for role, process in processes.items():
            resident = usage.resident_bytes(process.pid)
            found[role, 'resident'].add(streams, resident)
        await task
        for role, used_s in _used_core_s(processes, before):
            rate = streams * STREAM_TOKENS / used_s
            found[role, 'tokens per core second'].add(streams, rate)
    return list(found.values())


async def _by_length(
    client: httpx2.AsyncClient, processes: dict[str, launch.Process]
) -> list[series.Series]:
    found = {
        role: series.Series(
            f'throughput.{role} per request', 's of a core', 'tokens'
        )
        for role in processes
    }
    for tokens in ANSWER_LENGTHS:
        requests = REQUESTS[tokens]
        before = _read_core_s(processes)
        await _generate_all(client, requests, LENGTH_STREAMS, tokens)
        for role, used_s in _used_core_s(processes, before):
            found[role].add(tokens, used_s / requests)
    return list(found.values())


def _read_core_s(processes: dict[str, launch.Process]) -> dict[str, float]:
    return {
        role: usage.core_s(process.pid) for role, process in processes.items()
    }


def _used_core_s(
    processes: dict[str, launch.Process], before: dict[str, float]
) -> Iterable[tuple[str, float]]:
    for role, now in _read_core_s(processes).items():
        yield role, now - before[role]


async def _generate_all(
    client: httpx2.AsyncClient, requests: int, streams: int, tokens: int
) -> None:
    """Sends `requests` requests, `streams` of them concurrently."""
    numbers = iter(range(requests))

    async def run_caller() -> None:
        for _ in numbers:
            await _generate(client, tokens)

    async with asyncio.TaskGroup() as group:
        for _ in range(streams):
            group.create_task(run_caller())


async def _generate(client: httpx2.AsyncClient, tokens: int) -> None:
    prompt = f'Delivery slots? [[tokens={tokens}]]'
    body = {'model': board.MODEL, 'prompt': prompt}
    answer = await caller.generate(client, body)
    if len(answer.texts) != tokens or not answer.is_complete:
        raise WrongAnswerError(f'{answer.status} {answer.error}')
