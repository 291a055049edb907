"""Measures the cost of a link for a router and a sidecar without requests.

Router: one real process, linked to many real sidecars inside this process.
Sidecar: one real process in front of an engine stand-in, with many links that
this process dials. Each is measured while nothing changes and while the load of
every sidecar changes continuously.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

from quetzalsill.settings import section
from quetzalsill.telemetry import log
from quetzalsill.wire import dial, heartbeat, message
from quetzalsill_dev import board, cluster, launch, layout, process_settings
from quetzalsill_dev.bench.capacity import engine, series, sidecars, window
from quetzalsill_dev.bench.capacity import size as size_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from quetzalsill.wire import link as link_lib

__all__ = ['measure_router', 'measure_sidecar']

SIZES = (8, 64, 256)
ROUTER = 'entry-1'
ZONE = board.ZONES[0]
STATES = ('idle', 'changing')
FIGURES = {
    'core': 'part of a core',
    'payload': 'bytes/s',
    'wire': 'bytes/s',
    'resident': 'bytes',
}
PROMPT_TOKENS = 4000
ANSWER_TOKENS = 3
PAUSE_S = 0.05
ATTEMPT_NUMBERS = itertools.count(1)


def measure_router() -> Iterable[series.Series]:
    """Measures a router by its number of links."""
    return asyncio.run(_measure_router())


def measure_sidecar() -> Iterable[series.Series]:
    """Measures a sidecar by its number of links."""
    return asyncio.run(_measure_sidecar())


class _UsageSeries:
    """Series of one role, by state and figure."""

    def __init__(self, role: str) -> None:
        self._series = {
            (state, figure): series.Series(
                f'links.{role} {state} {figure}', unit, 'links'
            )
            for state in STATES
            for figure, unit in FIGURES.items()
        }

    def add(self, state: str, size: int, usage: window.Window) -> None:
        """Adds the usage at a number of links."""
        for figure in FIGURES:
            self._series[state, figure].add(size, getattr(usage, figure))

    def all(self) -> list[series.Series]:
        """Returns all series."""
        return list(self._series.values())


async def _measure_router() -> list[series.Series]:
    log.configure('error')
    usage_series = _UsageSeries('router')
    spec = layout.Layout([], [], [layout.RouterSpec(ROUTER, ZONE)])
    async with launch.Launcher() as launcher:
        started = cluster.Cluster(launcher, spec)
        await started.start()
        process = await engine.start(launcher)
        async with sidecars.Sidecars(process.url) as sidecar_group:
            for size in SIZES:
                await sidecar_group.grow(size)
                await _publish(started, sidecar_group)
                pid = started.routers[ROUTER].pid
                usage = await window.measure(pid, sidecar_group.links())
                usage_series.add('idle', size, usage)
                async with _in_background(sidecar_group.oscillate_load()):
                    usage = await window.measure(pid, sidecar_group.links())
                usage_series.add('changing', size, usage)
    return usage_series.all()


async def _publish(
    started: cluster.Cluster, sidecar_group: sidecars.Sidecars
) -> None:
    started.configuration.upstreams = sidecar_group.upstreams()
    started.configuration.policies.subset = max(SIZES)
    revision = await started.publish()
    await sidecar_group.wait_linked()
    await sidecar_group.wait_revision(revision)


async def _measure_sidecar() -> list[series.Series]:
    log.configure('error')
    usage_series = _UsageSeries('sidecar')
    async with launch.Launcher() as launcher:
        upstream = await engine.start(launcher)
        process = await _start_sidecar(launcher, upstream)
        async with contextlib.AsyncExitStack() as stack:
            links: list[link_lib.Link] = []
            for size in SIZES:
                for number in range(len(links), size):
                    opened = _open_link(process.port, number)
                    links.append(await stack.enter_async_context(opened))
                usage = await window.measure(process.pid, links)
                usage_series.add('idle', size, usage)
                async with _in_background(_send_requests(process.port)):
                    usage = await window.measure(process.pid, links)
                usage_series.add('changing', size, usage)
    return usage_series.all()


async def _start_sidecar(
    launcher: launch.Launcher, upstream: launch.Process
) -> launch.Process:
    platform = dict.fromkeys(('table', 'objects', 'hosts'), upstream.url)
    path = launcher.folder / 'sidecar.json'
    settings = process_settings.sidecar(
        engine.NAME, ZONE, 0, platform, upstream.url, 'model'
    )
    process_settings.write(path, settings)
    return await launcher.start(
        'sidecar', 'quetzalsill.run', 'sidecar', f'--settings={path}'
    )


@contextlib.asynccontextmanager
async def _open_link(port: int, number: int) -> AsyncIterator[link_lib.Link]:
    """Opens a link whose messages are discarded."""
    link = await _dial(port, f'entry-{number:03d}')

    async def read() -> None:
        async for _ in link.messages():
            pass

    async with _in_background(read()):
        yield link
    link.close()


async def _dial(port: int, node: str) -> link_lib.Link:
    hello = message.Hello(
        message.VERSION, node, 1, process_settings.CREDENTIAL, ZONE, 0
    )
    return await dial.dial(
        '127.0.0.1',
        port,
        hello,
        section.LinkTiming(),
        heartbeat_factor=lambda: heartbeat.dialling_factor(
            size_lib.ROUTER_LINKS
        ),
    )


@contextlib.asynccontextmanager
async def _in_background(work: object) -> AsyncIterator[None]:
    task = asyncio.create_task(work)
    try:
        yield
        if task.done():
            await task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _send_requests(port: int) -> None:
    """Requests short answers to long prompts, one after the other."""
    link = await _dial(port, 'entry-asking')
    messages = link.messages()
    for number in ATTEMPT_NUMBERS:
        attempt = f'entry-asking/1/{number}'
        link.send_nowait(_dispatch(attempt, link.peer.incarnation))
        async for msg in messages:
            if isinstance(msg, message.Finished):
                break
        link.send_nowait(message.Ack(attempt))
        await asyncio.sleep(PAUSE_S)


def _dispatch(attempt: str, incarnation: int) -> message.Dispatch:
    prompt = f'Delivery slots? [[tokens={ANSWER_TOKENS}]]'
    body = f'{{"model": "{board.MODEL}", "prompt": "{prompt}"}}'
    return message.Dispatch(
        attempt=attempt,
        request=attempt,
        incarnation=incarnation,
        revision=0,
        fence=0,
        account='retailers',
        profile='prompt',
        model=board.MODEL,
        kind='completion',
        method='POST',
        path='',
        headers=[],
        payload=body.encode(),
        body_open=False,
        idempotent=True,
        remaining_ms=60_000,
        queue_ms=10_000,
        prompt_tokens=PROMPT_TOKENS,
        max_tokens=ANSWER_TOKENS,
        prefix='',
        recover=False,
        credit=256,
        trace='',
    )
