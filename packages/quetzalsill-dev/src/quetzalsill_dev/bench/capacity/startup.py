"""Measures the cost of a start when all links are opened at once.

A restarted sidecar is dialled by all its routers: one real sidecar process,
with the real peer objects of many routers inside this process. A restarted
router dials all its sidecars: one real router process, with many real sidecars
inside this process. Finally, several router processes start simultaneously.
"""

from __future__ import annotations

import asyncio
import pathlib
import re
import time
from typing import TYPE_CHECKING

from quetzalsill.config import document, holder
from quetzalsill.settings import section
from quetzalsill.telemetry import log
from quetzalsill_dev import (
    board,
    caller,
    cluster,
    launch,
    layout,
    process_settings,
)
from quetzalsill_dev.bench.capacity import (
    engine,
    fleet,
    series,
    sidecars,
    size,
    usage,
    wait,
)
from quetzalsill_router.peer import peers as peers_lib

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ['measure']

LINK_COUNTS = (8, 32, 128)
ROUTER_COUNTS = (1, 2, 4, 8)
ZONE = board.ZONES[0]
REVISION = 5
PEAK_MEMORY_PATTERN = re.compile(r'VmHWM:\s+(\d+) kB')
SETTLE_S = 3.0


def measure() -> Iterable[series.Series]:
    """Measures the start of a sidecar, of a router and of many routers."""
    log.configure('error')
    return [
        *asyncio.run(_measure_sidecar()),
        *asyncio.run(_measure_router()),
        *asyncio.run(_measure_routers()),
    ]


async def _measure_sidecar() -> list[series.Series]:
    linked = series.Series('startup.sidecar linked', 's', 'links')
    core = series.Series('startup.sidecar core', 's of a core', 'links')
    peak = series.Series('startup.sidecar peak', 'bytes', 'links')
    for count in LINK_COUNTS:
        async with launch.Launcher() as launcher:
            upstream = await engine.start(launcher)
            process = await _start_sidecar(launcher, upstream)
            used_s = usage.core_s(process.pid)
            began = time.monotonic()
            router_peers = _dial_all(count, process.port)
            await wait.until(
                lambda router_peers=router_peers: _all_current(router_peers)
            )
            linked.add(count, time.monotonic() - began)
            # Documents that were requested more than once may still arrive.
            await asyncio.sleep(SETTLE_S)
            core.add(count, usage.core_s(process.pid) - used_s)
            peak.add(count, _peak_bytes(process.pid))
            await asyncio.gather(*(each.stop() for each in router_peers))
    return [linked, core, peak]


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


def _dial_all(count: int, port: int) -> list[peers_lib.Peers]:
    """Creates peers of routers that hold a configuration of the target size."""
    accounts = size.TARGET.accounts + size.TARGET.upstreams
    cfg = fleet.configuration(accounts, {})
    cfg.upstreams[engine.NAME] = fleet.upstream(
        f'127.0.0.1:{port}', ZONE, [board.MODEL]
    )
    config_holder = holder.Holder()
    config_holder.install(document.render(cfg), REVISION)
    created = [
        peers_lib.Peers(
            section.Node(f'entry-{number:03d}', ZONE),
            number + 1,
            process_settings.CREDENTIAL,
            config_holder,
            section.LinkTiming(),
        )
        for number in range(count)
    ]
    for each in created:
        each.reconcile(config_holder.current, None)
    return created


def _all_current(router_peers: list[peers_lib.Peers]) -> bool:
    found = [each.get(engine.NAME) for each in router_peers]
    return all(peer.linked and peer.revision == REVISION for peer in found)


def _peak_bytes(pid: int) -> int:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(PEAK_MEMORY_PATTERN.search(status)[1]) * 1024


async def _measure_router() -> list[series.Series]:
    linked = series.Series('startup.router linked', 's', 'links')
    core = series.Series('startup.router core', 's of a core', 'links')
    spec = layout.Layout([], [], [layout.RouterSpec('entry-1', ZONE)])
    async with launch.Launcher() as launcher:
        upstream = await engine.start(launcher)
        async with sidecars.Sidecars(upstream.url) as sidecar_group:
            started = cluster.Cluster(launcher, spec)
            await started.start()
            for count in LINK_COUNTS:
                await sidecar_group.grow(count)
                started.configuration.upstreams = sidecar_group.upstreams()
                started.configuration.policies.subset = max(LINK_COUNTS)
                await started.publish()
                await sidecar_group.wait_linked()
                started.routers['entry-1'].kill()
                await wait.until(lambda: not sidecar_group.links())
                began = time.monotonic()
                process = await started.start_router('entry-1')
                await sidecar_group.wait_linked()
                linked.add(count, time.monotonic() - began)
                core.add(count, usage.core_s(process.pid))
    return [linked, core]


async def _measure_routers() -> list[series.Series]:
    ready = series.Series('startup.routers ready', 's', 'routers')
    core = series.Series('startup.routers core', 's of a core', 'routers')
    reads = series.Series('startup.routers reads', 'reads', 'routers')
    for count in ROUTER_COUNTS:
        specs = [
            layout.RouterSpec(f'entry-{number}', ZONE)
            for number in range(1, count + 1)
        ]
        async with launch.Launcher() as launcher:
            started = cluster.Cluster(launcher, layout.Layout([], [], specs))
            began = time.monotonic()
            await started.start()
            ready.add(count, time.monotonic() - began)
            pids = [process.pid for process in started.routers.values()]
            core.add(count, sum(map(usage.core_s, pids)))
            async with caller.open_client(started.store.url) as client:
                counts = (await client.get('/stand-in/counts')).json()
            names = ('row_get', 'scan', 'object_get')
            reads.add(count, sum(counts.get(name, 0) for name in names))
    return [ready, core, reads]
