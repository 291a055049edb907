"""The cluster under failure, and what is known of all that ran on it."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import hashlib
from typing import TYPE_CHECKING, Any

from quetzalsill_dev import board, launch, relay
from quetzalsill_dev import cluster as cluster_lib
from quetzalsill_dev.bench.faults import schedule, traffic

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

__all__ = ['Field', 'Ran', 'open_field']

ENGINES = 4
SERVICES = 2
ROUTERS = 2
DIGEST_LENGTH = 16
SLOW_S = 0.5
LOST_ANSWERS = 20


@dataclasses.dataclass(slots=True)
class Ran:
    """What the upstreams say has run.

    Attributes:
      generations: Numbers of the generations, by digest of the prompt.
      orders: How often each order was taken.
    """

    generations: dict[str, set[int]]
    orders: collections.Counter[str]

    def count(self, ask: traffic.Ask) -> int:
        """How often a request ran."""
        if ask.kind.name == traffic.ORDER:
            return self.orders[ask.name]
        return len(self.of(ask))

    def of(self, ask: traffic.Ask) -> set[int]:
        """Generations that were made for a prompt."""
        digest = hashlib.sha256(ask.prompt.encode()).hexdigest()
        return self.generations.get(digest[:DIGEST_LENGTH], set())


class Field:
    """A cluster, the relays between its parts, and its faults.

    Attributes:
      struck: Names of the routers that a fault has in hand at present.
    """

    def __init__(self, launcher: launch.Launcher) -> None:
        self.struck: set[str] = set()
        self.cluster = cluster_lib.Cluster(
            launcher,
            board.board_layout(ENGINES, SERVICES, ROUTERS),
            traffic.configuration(),
            via=self._via,
        )
        self._relays: dict[str, relay.Relay] = {}
        self._lost_runs: list[dict[str, Any]] = []

    async def close(self) -> None:
        """Stops the relays."""
        for one in self._relays.values():
            await one.stop()

    async def strike(self, strike: schedule.Strike) -> None:
        """Lets a strike's faults come and pass; returns when all is mended."""
        async with asyncio.TaskGroup() as group:
            for fault in strike.faults:
                lasts_s = schedule.FAULTS[fault]
                part, _, what = fault.partition(' ')
                act = getattr(self, f'_{part}_{what.replace(" ", "_")}')
                group.create_task(act(strike.draw, lasts_s))

    async def ran(self) -> Ran:
        """All that has run so far."""
        runs = list(self._lost_runs)
        orders: collections.Counter[str] = collections.Counter()
        for name in self.cluster.upstreams:
            audit = await self.cluster.audit(name)
            runs += audit.get('runs', ())
            if 'runs' not in audit:
                orders.update(audit['orders'])
        found = collections.defaultdict(set)
        for run in runs:
            found[run['prompt_digest']].add(run['generation'])
        return Ran(dict(found), orders)

    async def _via(self, hop: str, address: str) -> str:
        part, _, _ = hop.partition(':')
        if part not in ('upstream', 'sidecar'):
            return address
        host, _, port = address.partition(':')
        if hop not in self._relays:
            self._relays[hop] = relay.Relay(host, int(port))
            await self._relays[hop].start()
        return f'127.0.0.1:{self._relays[hop].port}'

    async def _engine_killed(self, draw: float, lasts_s: float) -> None:
        name = _pick(self._engines(), draw)
        way = self._relays[f'upstream:{name}']
        # Nothing may reach the engine between its last audit and its end.
        way.refusing = True
        way.cut()
        self._lost_runs += (await self.cluster.audit(name))['runs']
        await _kill(self.cluster.upstreams[name])
        await asyncio.sleep(lasts_s)
        await self.cluster.start_upstream(name)
        way.refusing = False

    async def _engine_paused(self, draw: float, lasts_s: float) -> None:
        name = _pick(self._engines(), draw)
        await _pause(self.cluster.upstreams[name], lasts_s)

    async def _sidecar_killed(self, draw: float, lasts_s: float) -> None:
        name = _pick(self.cluster.sidecars, draw)
        await _kill(self.cluster.sidecars[name])
        await asyncio.sleep(lasts_s)
        await self.cluster.start_sidecar(name)

    async def _sidecar_paused(self, draw: float, lasts_s: float) -> None:
        name = _pick(self.cluster.sidecars, draw)
        await _pause(self.cluster.sidecars[name], lasts_s)

    async def _router_killed(self, draw: float, lasts_s: float) -> None:
        async def kill(name: str) -> None:
            await _kill(self.cluster.routers[name])
            await asyncio.sleep(lasts_s)
            await self.cluster.start_router(name)
            await self.cluster.wait_ready()

        await self._strike_router(draw, kill)

    async def _router_paused(self, draw: float, lasts_s: float) -> None:
        async def pause(name: str) -> None:
            await _pause(self.cluster.routers[name], lasts_s)

        await self._strike_router(draw, pause)

    async def _strike_router(
        self, draw: float, act: Callable[[str], Awaitable[None]]
    ) -> None:
        name = _pick(self.cluster.routers, draw)
        self.struck.add(name)
        try:
            await act(name)
        finally:
            self.struck.discard(name)

    async def _store_down(self, draw: float, lasts_s: float) -> None:
        await self._spoil(lasts_s, {'down': True}, {'down': False})

    async def _store_silent(self, draw: float, lasts_s: float) -> None:
        await self._spoil(lasts_s, {'silent': True}, {'silent': False})

    async def _store_slow(self, draw: float, lasts_s: float) -> None:
        await self._spoil(lasts_s, {'slow_s': SLOW_S}, {'slow_s': 0.0})

    async def _store_loses_answers(self, draw: float, lasts_s: float) -> None:
        losing = {'lose_answers': LOST_ANSWERS}
        await self._spoil(lasts_s, losing, {'lose_answers': 0})

    async def _spoil(
        self, lasts_s: float, on: dict[str, Any], off: dict[str, Any]
    ) -> None:
        await self.cluster.switch(self.cluster.store, **on)
        await asyncio.sleep(lasts_s)
        await self.cluster.switch(self.cluster.store, **off)

    async def _link_cut(self, draw: float, lasts_s: float) -> None:
        self._link(draw).cut()

    async def _link_silent(self, draw: float, lasts_s: float) -> None:
        self._link(draw).silence()

    def _link(self, draw: float) -> relay.Relay:
        return self._relays[f'sidecar:{_pick(self.cluster.sidecars, draw)}']

    def _engines(self) -> list[str]:
        return [n for n in self.cluster.upstreams if n.startswith('model')]


@contextlib.asynccontextmanager
async def open_field() -> AsyncIterator[Field]:
    """A started cluster, ended on leaving."""
    async with launch.Launcher() as launcher:
        field = Field(launcher)
        try:
            await field.cluster.start()
            yield field
        finally:
            await field.close()


def _pick(names: Any, draw: float) -> str:
    ordered = sorted(names)
    return ordered[int(draw * len(ordered))]


async def _kill(process: launch.Process) -> None:
    process.kill()
    await process.wait()


async def _pause(process: launch.Process, lasts_s: float) -> None:
    process.stop()
    await asyncio.sleep(lasts_s)
    process.cont()
