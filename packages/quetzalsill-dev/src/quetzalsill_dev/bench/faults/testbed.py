"""The cluster under fault injection and the record of its executions."""

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

__all__ = ['Executions', 'Testbed', 'open_testbed']

ENGINES = 4
SERVICES = 2
ROUTERS = 2
DIGEST_LENGTH = 16
STORE_DELAY_S = 0.5
ANSWERS_TO_LOSE = 20


@dataclasses.dataclass(slots=True)
class Executions:
    """What ran according to the audits of the upstreams.

    Attributes:
      generations: Numbers of the generations, by digest of the prompt.
      orders: How often each order was received.
    """

    generations: dict[str, set[int]]
    orders: collections.Counter[str]

    def count(self, request: traffic.Request) -> int:
        """Returns how often a request ran."""
        if request.kind.name == traffic.ORDER:
            return self.orders[request.name]
        return len(self.generations_of(request))

    def generations_of(self, request: traffic.Request) -> set[int]:
        """Returns the generations that ran for a prompt."""
        digest = hashlib.sha256(request.prompt.encode()).hexdigest()
        return self.generations.get(digest[:DIGEST_LENGTH], set())


class Testbed:
    """A cluster with relays between its parts, and its faults.

    Attributes:
      faulty_routers: Names of the routers that are currently under a fault.
    """

    def __init__(self, launcher: launch.Launcher) -> None:
        self.faulty_routers: set[str] = set()
        self.cluster = cluster_lib.Cluster(
            launcher,
            board.board_layout(ENGINES, SERVICES, ROUTERS),
            traffic.configuration(),
            via=self._via,
        )
        self._relays: dict[str, relay.Relay] = {}
        self._runs_of_killed: list[dict[str, Any]] = []

    async def close(self) -> None:
        """Stops the relays."""
        for each in self._relays.values():
            await each.stop()

    async def inject(self, injection: schedule.Injection) -> None:
        """Injects faults and reverts them; returns when all are reverted."""
        async with asyncio.TaskGroup() as group:
            for fault in injection.faults:
                duration_s = schedule.FAULTS[fault]
                part, _, what = fault.partition(' ')
                inject_fault = getattr(
                    self, f'_{part}_{what.replace(" ", "_")}'
                )
                group.create_task(inject_fault(injection.draw, duration_s))

    async def executions(self) -> Executions:
        """Returns everything that has run so far."""
        runs = list(self._runs_of_killed)
        orders: collections.Counter[str] = collections.Counter()
        for name in self.cluster.upstreams:
            audit = await self.cluster.audit(name)
            runs += audit.get('runs', ())
            if 'runs' not in audit:
                orders.update(audit['orders'])
        generations = collections.defaultdict(set)
        for run in runs:
            generations[run['prompt_digest']].add(run['generation'])
        return Executions(dict(generations), orders)

    async def _via(self, hop: str, address: str) -> str:
        part, _, _ = hop.partition(':')
        if part not in ('upstream', 'sidecar'):
            return address
        host, _, port = address.partition(':')
        if hop not in self._relays:
            self._relays[hop] = relay.Relay(host, int(port))
            await self._relays[hop].start()
        return f'127.0.0.1:{self._relays[hop].port}'

    async def _engine_killed(self, draw: float, duration_s: float) -> None:
        name = _pick(self._engines(), draw)
        link = self._relays[f'upstream:{name}']
        # No request may reach the engine between its last audit and its kill.
        link.refusing = True
        link.cut()
        self._runs_of_killed += (await self.cluster.audit(name))['runs']
        await _kill(self.cluster.upstreams[name])
        await asyncio.sleep(duration_s)
        await self.cluster.start_upstream(name)
        link.refusing = False

    async def _engine_paused(self, draw: float, duration_s: float) -> None:
        name = _pick(self._engines(), draw)
        await _pause(self.cluster.upstreams[name], duration_s)

    async def _sidecar_killed(self, draw: float, duration_s: float) -> None:
        name = _pick(self.cluster.sidecars, draw)
        await _kill(self.cluster.sidecars[name])
        await asyncio.sleep(duration_s)
        await self.cluster.start_sidecar(name)

    async def _sidecar_paused(self, draw: float, duration_s: float) -> None:
        name = _pick(self.cluster.sidecars, draw)
        await _pause(self.cluster.sidecars[name], duration_s)

    async def _router_killed(self, draw: float, duration_s: float) -> None:
        async def kill(name: str) -> None:
            await _kill(self.cluster.routers[name])
            await asyncio.sleep(duration_s)
            await self.cluster.start_router(name)
            await self.cluster.wait_ready()

        await self._inject_router_fault(draw, kill)

    async def _router_paused(self, draw: float, duration_s: float) -> None:
        async def pause(name: str) -> None:
            await _pause(self.cluster.routers[name], duration_s)

        await self._inject_router_fault(draw, pause)

    async def _inject_router_fault(
        self, draw: float, action: Callable[[str], Awaitable[None]]
    ) -> None:
        name = _pick(self.cluster.routers, draw)
        self.faulty_routers.add(name)
        try:
            await action(name)
        finally:
            self.faulty_routers.discard(name)

    async def _store_down(self, draw: float, duration_s: float) -> None:
        await self._degrade_store(duration_s, {'down': True}, {'down': False})

    async def _store_silent(self, draw: float, duration_s: float) -> None:
        await self._degrade_store(
            duration_s, {'silent': True}, {'silent': False}
        )

    async def _store_slow(self, draw: float, duration_s: float) -> None:
        await self._degrade_store(
            duration_s, {'slow_s': STORE_DELAY_S}, {'slow_s': 0.0}
        )

    async def _store_loses_answers(
        self, draw: float, duration_s: float
    ) -> None:
        enabled = {'lose_answers': ANSWERS_TO_LOSE}
        await self._degrade_store(duration_s, enabled, {'lose_answers': 0})

    async def _degrade_store(
        self, duration_s: float, on: dict[str, Any], off: dict[str, Any]
    ) -> None:
        await self.cluster.switch(self.cluster.store, **on)
        await asyncio.sleep(duration_s)
        await self.cluster.switch(self.cluster.store, **off)

    async def _link_cut(self, draw: float, duration_s: float) -> None:
        self._link(draw).cut()

    async def _link_silent(self, draw: float, duration_s: float) -> None:
        self._link(draw).silence()

    def _link(self, draw: float) -> relay.Relay:
        return self._relays[f'sidecar:{_pick(self.cluster.sidecars, draw)}']

    def _engines(self) -> list[str]:
        return [n for n in self.cluster.upstreams if n.startswith('model')]


@contextlib.asynccontextmanager
async def open_testbed() -> AsyncIterator[Testbed]:
    """Starts a testbed and stops it on exit."""
    async with launch.Launcher() as launcher:
        testbed = Testbed(launcher)
        try:
            await testbed.cluster.start()
            yield testbed
        finally:
            await testbed.close()


def _pick(names: Any, draw: float) -> str:
    ordered = sorted(names)
    return ordered[int(draw * len(ordered))]


async def _kill(process: launch.Process) -> None:
    process.kill()
    await process.wait()


async def _pause(process: launch.Process, duration_s: float) -> None:
    process.stop()
    await asyncio.sleep(duration_s)
    process.cont()
