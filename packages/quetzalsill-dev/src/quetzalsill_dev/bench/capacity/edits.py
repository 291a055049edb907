"""How long an edit takes to be in force, and what it sends.

Routers are real processes, sidecars are real ones inside this process. With
a small document many sidecars follow; with one of the whole size few, since
they share one core here that they would not share on their hosts.
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
FEW = 6
EDITS = 3
REST_S = 2.0


def measure() -> Iterable[series.Series]:
    """Measures edits by sidecars, then by routers with a whole document."""
    return asyncio.run(_measure())


class _Fleet:
    """Routers and sidecars that follow edits."""

    def __init__(
        self, launcher: launch.Launcher, far: sidecars.Sidecars
    ) -> None:
        self.far = far
        self.spec = layout.Layout([], [], [_router(1)])
        self.cluster = cluster.Cluster(launcher, self.spec)
        self._weight = 1.0

    async def grow(self, routers: int) -> None:
        """Starts routers until there are so many."""
        for number in range(len(self.spec.routers) + 1, routers + 1):
            self.spec.routers.append(_router(number))
            await self.cluster.start_router(self.spec.routers[-1].name)
        await self.cluster.wait_ready()

    async def spread(self, count: int) -> None:
        """Lets so many sidecars be linked to every router."""
        await self.far.grow(count)
        cfg = self.cluster.configuration
        cfg.upstreams = self.far.upstreams()
        cfg.policies.subset = max(SIDECARS)
        await self.edit()
        await self.far.wait_linked(len(self.spec.routers))

    async def edit(self) -> float:
        """Edits one account; gives the seconds until it is in force."""
        self._weight += 1.0
        account = self.cluster.configuration.accounts['retailers']
        account.weight = self._weight
        revision = await self.cluster.publish()
        accepted = time.monotonic()
        await self.far.wait_revision(revision)
        return time.monotonic() - accepted

    def traffic(self) -> int:
        """Bytes on all links so far."""
        return sum(map(usage.wire_bytes, self.far.links()))


async def _measure() -> list[series.Series]:
    log.configure('error')
    found = []
    async with launch.Launcher() as launcher:
        process = await engine.start(launcher)
        async with sidecars.Sidecars(process.url) as far:
            fleet_of_many = _Fleet(launcher, far)
            await fleet_of_many.cluster.start()
            await fleet_of_many.grow(max(ROUTERS))
            found += await _by_sidecars(fleet_of_many)
    async with launch.Launcher() as launcher:
        process = await engine.start(launcher)
        async with sidecars.Sidecars(process.url) as far:
            fleet_of_few = _Fleet(launcher, far)
            fleet_of_few.cluster.configuration = _whole()
            await fleet_of_few.cluster.start()
            found += await _by_routers(fleet_of_few)
    return found


def _whole() -> model.Configuration:
    """As many bytes as the target's configuration, with few upstreams."""
    more = size.TARGET.accounts + size.TARGET.upstreams
    return fleet.configuration(more, {})


async def _by_sidecars(many: _Fleet) -> list[series.Series]:
    median = series.Series('edits.median time', 's', 'sidecars', linear=False)
    most = series.Series('edits.most time', 's', 'sidecars', linear=False)
    for count in SIDECARS:
        await many.spread(count)
        times = []
        for _ in range(EDITS):
            await asyncio.sleep(REST_S)
            times.append(await many.edit())
        median.add(count, statistics.median(times))
        most.add(count, max(times))
    return [median, most]


async def _by_routers(few: _Fleet) -> list[series.Series]:
    sent = series.Series(
        'edits.bytes to a sidecar, whole document',
        'bytes for each edit',
        'routers',
    )
    took = series.Series(
        'edits.median time, whole document', 's', 'routers', linear=False
    )
    for routers in ROUTERS:
        await few.grow(routers)
        await few.spread(FEW)
        # Documents of the last edit may still be on their way.
        await asyncio.sleep(2 * REST_S)
        rest = await _traffic_at_rest(few)
        times, total = [], 0.0
        for _ in range(EDITS):
            before, began = few.traffic(), time.monotonic()
            times.append(await few.edit())
            await asyncio.sleep(REST_S)
            passed_s = time.monotonic() - began
            total += few.traffic() - before - rest * passed_s
        sent.add(routers, total / EDITS / FEW)
        took.add(routers, statistics.median(times))
    return [sent, took]


async def _traffic_at_rest(few: _Fleet) -> float:
    before, began = few.traffic(), time.monotonic()
    await asyncio.sleep(REST_S)
    return (few.traffic() - before) / (time.monotonic() - began)


def _router(number: int) -> layout.RouterSpec:
    return layout.RouterSpec(f'entry-{number}', board.ZONES[0])
