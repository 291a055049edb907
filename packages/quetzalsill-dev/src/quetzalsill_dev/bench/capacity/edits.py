"""Measures how long an edit takes to become active, and its traffic.

Routers are real processes; sidecars are real ones inside this process. Many
sidecars receive a small document, but only a few receive one of the target
size, since they share one core here, which they would not on their hosts.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from typing import TYPE_CHECKING

from quetzalsill.telemetry import log
from quetzalsill_dev import board, cluster, launch, layout
from quetzalsill_dev.bench.capacity import (
    engine,
    fleet,
    series,
    sidecars,
    size,
    usage,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill.config import model

__all__ = ['measure']

SIDECARS = (12, 32, 96)
ROUTERS = (1, 2, 4)
FEW_SIDECARS = 6
EDITS = 3
SETTLE_S = 2.0


def measure() -> Iterable[series.Series]:
    """Measures edits by sidecars, then by routers with a full-size document."""
    return asyncio.run(_measure())


class _Fleet:
    """Routers and sidecars that receive edits."""

    def __init__(
        self, launcher: launch.Launcher, sidecar_group: sidecars.Sidecars
    ) -> None:
        self.sidecar_group = sidecar_group
        self.spec = layout.Layout([], [], [_router(1)])
        self.cluster = cluster.Cluster(launcher, self.spec)
        self._weight = 1.0

    async def grow(self, routers: int) -> None:
        """Starts routers until there are `routers` of them."""
        for number in range(len(self.spec.routers) + 1, routers + 1):
            self.spec.routers.append(_router(number))
            await self.cluster.start_router(self.spec.routers[-1].name)
        await self.cluster.wait_ready()

    async def link_sidecars(self, count: int) -> None:
        """Links `count` sidecars to every router."""
        await self.sidecar_group.grow(count)
        cfg = self.cluster.configuration
        cfg.upstreams = self.sidecar_group.upstreams()
        cfg.policies.subset = max(SIDECARS)
        await self.edit()
        await self.sidecar_group.wait_linked(len(self.spec.routers))

    async def edit(self) -> float:
        """Edits one account; returns the seconds until the edit is active."""
        self._weight += 1.0
        account = self.cluster.configuration.accounts['retailers']
        account.weight = self._weight
        revision = await self.cluster.publish()
        accepted = time.monotonic()
        await self.sidecar_group.wait_revision(revision)
        return time.monotonic() - accepted

    def traffic(self) -> int:
        """Returns the bytes sent on all links so far."""
        return sum(map(usage.wire_bytes, self.sidecar_group.links()))


async def _measure() -> list[series.Series]:
    log.configure('error')
    found = []
    async with launch.Launcher() as launcher:
        process = await engine.start(launcher)
        async with sidecars.Sidecars(process.url) as sidecar_group:
            large_fleet = _Fleet(launcher, sidecar_group)
            await large_fleet.cluster.start()
            await large_fleet.grow(max(ROUTERS))
            found += await _by_sidecars(large_fleet)
    async with launch.Launcher() as launcher:
        process = await engine.start(launcher)
        async with sidecars.Sidecars(process.url) as sidecar_group:
            small_fleet = _Fleet(launcher, sidecar_group)
            small_fleet.cluster.configuration = _full_size_configuration()
            await small_fleet.cluster.start()
            found += await _by_routers(small_fleet)
    return found


def _full_size_configuration() -> model.Configuration:
    """Returns a document of the target size in bytes, with few upstreams."""
    more = size.TARGET.accounts + size.TARGET.upstreams
    return fleet.configuration(more, {})


async def _by_sidecars(large: _Fleet) -> list[series.Series]:
    median = series.Series('edits.median time', 's', 'sidecars', linear=False)
    maximum = series.Series('edits.most time', 's', 'sidecars', linear=False)
    for count in SIDECARS:
        await large.link_sidecars(count)
        times = []
        for _ in range(EDITS):
            await asyncio.sleep(SETTLE_S)
            times.append(await large.edit())
        median.add(count, statistics.median(times))
        maximum.add(count, max(times))
    return [median, maximum]


async def _by_routers(small: _Fleet) -> list[series.Series]:
    sent = series.Series(
        'edits.bytes to a sidecar, whole document',
        'bytes for each edit',
        'routers',
    )
    took = series.Series(
        'edits.median time, whole document', 's', 'routers', linear=False
    )
    for routers in ROUTERS:
        await small.grow(routers)
        await small.link_sidecars(FEW_SIDECARS)
        # Documents of the last edit may still be in transit.
        await asyncio.sleep(2 * SETTLE_S)
        idle_rate = await _idle_bytes_per_s(small)
        times, total = [], 0.0
        for _ in range(EDITS):
            before, began = small.traffic(), time.monotonic()
            times.append(await small.edit())
            await asyncio.sleep(SETTLE_S)
            passed_s = time.monotonic() - began
            total += small.traffic() - before - idle_rate * passed_s
        sent.add(routers, total / EDITS / FEW_SIDECARS)
        took.add(routers, statistics.median(times))
    return [sent, took]


async def _idle_bytes_per_s(small: _Fleet) -> float:
    before, began = small.traffic(), time.monotonic()
    await asyncio.sleep(SETTLE_S)
    return (small.traffic() - before) / (time.monotonic() - began)


def _router(number: int) -> layout.RouterSpec:
    return layout.RouterSpec(f'entry-{number}', board.ZONES[0])
