"""Counts the calls of routers and sidecars to the platform stand-ins.

Bytes are counted by relays in front of the stand-ins, without segment headers.
"""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from quetzalsill.platform import clients
from quetzalsill.settings import section
from quetzalsill_dev import board, caller, cluster, launch, layout
from quetzalsill_dev import relay as relay_lib
from quetzalsill_dev.bench.capacity import fleet, series, size
from quetzalsill_router import membership
from quetzalsill_router.durable import pace, setting

if TYPE_CHECKING:
    from collections.abc import Iterable

    import httpx2

__all__ = ['measure']

ROUTERS = (1, 2, 4, 8)
HOSTS = (10, 100, 500, size.TARGET.routers + size.TARGET.upstreams)
FLEET_SIZES = (1, 10, 100, size.TARGET.routers)
REQUEST_RATES = (5, 20, 40)
ENGINE = 'server-0000'
ZONE = board.ZONES[0]
SETTLE_S = 5.0
WINDOW_S = 8.0
LOAD_S = 5.0
READS_OF_HOSTS = 5
MIN_POLL_INTERVAL_S = 2.0
TOKENS = 5
READS = ('row_get', 'scan', 'object_get', 'object_list')
WRITES = ('transact', 'object_put', 'object_delete')
ACCOUNTS = {'prompt': 'retailers', 'durable': 'depot-clerks'}


@dataclasses.dataclass(slots=True)
class Counts:
    """Usage of the platform, in total or per second."""

    reads: float
    writes: float
    store_bytes: float
    host_bytes: float

    def rate_since(self, before: Counts, passed_s: float) -> Counts:
        """Returns the usage per second since `before`."""
        then = dataclasses.astuple(before)
        now = dataclasses.astuple(self)
        return Counts(
            *((b - a) / passed_s for a, b in zip(then, now, strict=True))
        )


UNITS = {
    'reads': '1/s',
    'writes': '1/s',
    'store_bytes': 'bytes/s',
    'host_bytes': 'bytes/s',
}


class _MeasuredCluster:
    """A cluster whose calls to the platform are counted."""

    def __init__(self, launcher: launch.Launcher) -> None:
        engine = layout.EngineSpec(
            ENGINE, ZONE, models=[board.MODEL], capacity_tokens=200_000
        )
        self.spec = layout.Layout([engine], [], [_router(1)])
        self.cluster = cluster.Cluster(launcher, self.spec, via=self._via)
        self._relays: dict[str, relay_lib.Relay] = {}

    async def start(self) -> None:
        """Starts the cluster with one router."""
        await self.cluster.start()

    async def grow(self, routers: int) -> None:
        """Starts routers until there are `routers` of them."""
        for number in range(len(self.spec.routers) + 1, routers + 1):
            spec = _router(number)
            self.spec.routers.append(spec)
            await self.cluster.start_router(spec.name)
        await self.cluster.wait_ready()

    async def stop(self) -> None:
        """Stops the relays."""
        for each in self._relays.values():
            await each.stop()

    async def measure_usage(self, window_s: float) -> Counts:
        """Measures the usage per second over a time window."""
        before, began = await self._counts(), time.monotonic()
        await asyncio.sleep(window_s)
        after, ended = await self._counts(), time.monotonic()
        return after.rate_since(before, ended - began)

    async def _via(self, hop: str, address: str) -> str:
        if hop not in ('store', 'hosts'):
            return address
        host, _, port = address.rpartition(':')
        relay = self._relays[hop] = relay_lib.Relay(host, int(port))
        await relay.start()
        return f'127.0.0.1:{relay.port}'

    async def _counts(self) -> Counts:
        async with caller.open_client(self.cluster.store.url) as client:
            counts = (await client.get('/stand-in/counts')).json()
        return Counts(
            sum(counts.get(name, 0) for name in READS),
            sum(counts.get(name, 0) for name in WRITES),
            self._relays['store'].forwarded,
            self._relays['hosts'].forwarded,
        )


def measure() -> Iterable[series.Series]:
    """Measures idle routers, requests, and the host list by its length."""
    return [*asyncio.run(_measure()), *_throttle_intervals()]


async def _measure() -> list[series.Series]:
    async with launch.Launcher() as launcher:
        measured = _MeasuredCluster(launcher)
        await measured.start()
        try:
            idle = _make_series('idle', 'routers')
            found = list(idle.values())
            for routers in ROUTERS:
                await measured.grow(routers)
                await asyncio.sleep(SETTLE_S)
                _add_point(
                    idle, routers, await measured.measure_usage(WINDOW_S)
                )
                if routers == ROUTERS[0]:
                    found += await _measure_requests(measured)
            found += await _measure_host_list(measured)
        finally:
            await measured.stop()
    return found


async def _measure_requests(measured: _MeasuredCluster) -> list[series.Series]:
    """Measures prompt and durable requests at several rates."""
    router = measured.cluster.routers[_router(1).name]
    found = []
    for kind, account in ACCOUNTS.items():
        group = _make_series(f'{kind} requests', 'requests/s')
        token = board.TOKENS[account]
        async with caller.open_client(router.url, token) as client:
            for rate in REQUEST_RATES:
                async with asyncio.TaskGroup() as tasks:
                    task = tasks.create_task(measured.measure_usage(LOAD_S))
                    for _ in range(int(rate * LOAD_S)):
                        tasks.create_task(_generate(client))
                        await asyncio.sleep(1 / rate)
                _add_point(group, rate, task.result())
        found += [group['reads'], group['writes'], group['store_bytes']]
    return found


async def _generate(client: httpx2.AsyncClient) -> None:
    prompt = f'Delivery slots? [[tokens={TOKENS}]]'
    await caller.generate(client, {'model': board.MODEL, 'prompt': prompt})


async def _measure_host_list(measured: _MeasuredCluster) -> list[series.Series]:
    """Measures reads of host lists by length, with the routers' client."""
    sent = series.Series('store.host list read', 'bytes', 'hosts')
    core = series.Series('store.host list read core', 's of a core', 'hosts')
    interval = series.Series('store.host list interval', 's', 'hosts', False)
    url = measured.cluster.hosts.url
    async with clients.open_clients(
        section.Platform(url, url, url)
    ) as platform:
        for count in HOSTS:
            hosts = [_host(number) for number in range(count)]
            await measured.cluster.switch(measured.cluster.hosts, hosts=hosts)
            began = time.process_time()
            for _ in range(READS_OF_HOSTS):
                await platform.hosts.fetch()
            used_s = time.process_time() - began
            core.add(count, used_s / READS_OF_HOSTS)
            interval.add(
                count, membership.poll_interval_s(MIN_POLL_INTERVAL_S, count)
            )
            async with caller.open_client(url) as client:
                sent.add(count, len((await client.get('/hosts')).content))
    return [sent, core, interval]


def _host(number: int) -> dict[str, str]:
    return {
        'name': f'server-{number + 1:04d}',
        'kind': 'upstream',
        'address': f'10.0.{number // 250}.{number % 250}:7201',
        'availability_zone': fleet.ZONES[number % len(fleet.ZONES)],
        'state': 'live',
    }


def _throttle_intervals() -> Iterable[series.Series]:
    """Returns the intervals that routers compute from the number of routers."""
    cfg = setting.Durable()
    makers = {
        'heartbeat': lambda count: pace.heartbeat_s(cfg, count),
        'journal': lambda count: _interval(pace.journal_throttle, cfg, count),
        'claims': lambda count: _interval(pace.claim_throttle, cfg, count),
        'index': lambda count: _interval(pace.index_throttle, cfg, count),
    }
    for name, make in makers.items():
        found = series.Series(
            f'store.{name} interval', 's', 'routers', linear=False
        )
        for count in FLEET_SIZES:
            found.add(count, make(count))
        yield found


def _interval(make: object, cfg: setting.Durable, count: int) -> float:
    return make(cfg, lambda: count).interval_s


def _make_series(name: str, by: str) -> dict[str, series.Series]:
    return {
        figure: series.Series(f'store.{name} {figure}', unit, by)
        for figure, unit in UNITS.items()
    }


def _add_point(
    group: dict[str, series.Series], count: float, counts: Counts
) -> None:
    for figure, found in group.items():
        found.add(count, getattr(counts, figure))


def _router(number: int) -> layout.RouterSpec:
    zone = board.ZONES[number % len(board.ZONES)]
    return layout.RouterSpec(f'entry-{number}', zone)
