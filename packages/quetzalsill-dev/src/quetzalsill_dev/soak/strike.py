"""Does to the processes, links and servers of a soak what its plan says."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING

from quetzalsill_dev.soak import plan, stage

if TYPE_CHECKING:
    from quetzalsill_dev import launch

__all__ = ['Striker']

# Time from an engine's notice until it goes, and until its row is dropped.
NOTICE_S = 1.5
STOP_BOUND_S = stage.GRACE_S + 3.0
DELAY_S = 0.15
STORE_DELAY_S = 0.6
FEWEST = 2
# One of so many gateways is cut off from the store.
PARTS = 3
MOST_RESETS = 3
# Servers have two seconds to enter themselves again.
REWRITE_S = 2.0
# Versions that others use up between copy and loss, and on the store's return:
# none, or past the old ones.
BETWEEN = 50
SKIPPED = (0, 2 * BETWEEN)
# Share of drills that break off the watches that wait.
CUT_SHARE = 0.5
# Share of lost rows that are there again before anybody is answered.
AT_ONCE = (0.0, 0.5, 1.0)


class Striker:
    """Faults under way.

    A gateway that is down, paused or stopping is left alone by what would
    need its process; everything else meets it all the same.
    """

    def __init__(self, scene: stage.Stage, *, goes_back: bool = True) -> None:
        """Prepares to strike.

        Args:
          scene: Everything that may be struck.
          goes_back: Whether drills have the store lose what it was told; they
            are outages as long otherwise.
        """
        self._stage = scene
        self._goes_back = goes_back
        self._tasks: set[asyncio.Task[None]] = set()
        self._broken: list[str] = []
        self._going: list[stage.Upstream] = []
        fault = plan.Fault
        self._acts: dict[
            plan.Fault, Callable[[plan.Strike], Coroutine[None, None, None]]
        ] = {
            fault.KILL: self._kill,
            fault.PAUSE: self._pause,
            fault.STOP: self._stop,
            fault.RELOAD: self._reload,
            fault.CUT_CALLERS: self._links,
            fault.SILENCE_CALLERS: self._links,
            fault.DELAY_CALLERS: self._links,
            fault.CUT_UPSTREAM: self._links,
            fault.SILENCE_UPSTREAM: self._links,
            fault.SILENCE_ANSWERS: self._links,
            fault.DELAY_UPSTREAM: self._links,
            fault.REFUSE_UPSTREAM: self._links,
            fault.MISBEHAVE: self._misbehave,
            fault.LEAVE: self._leave,
            fault.CRASH: self._crash,
            fault.STORE_BUSY: self._store,
            fault.STORE_SILENT: self._store,
            fault.STORE_CUT: self._store_cut,
            fault.STORE_DELAY: self._store_delay,
            fault.STORE_FORGETS: self._forget,
            fault.CONFIGURE: self._configure,
            fault.STORE_PART: self._part,
            fault.DRILL: self._drill,
            fault.RESET_BEGUN: self._reset_begun,
        }

    def do(self, strike: plan.Strike) -> None:
        """Begins a strike; it ends by itself."""
        task = asyncio.create_task(self._acts[strike.fault](strike))
        self._tasks.add(task)

    async def heal(self) -> list[str]:
        """Waits until all strikes are over; returns what broke under them."""
        await asyncio.gather(*self._tasks)
        return self._broken

    def _gateway(self, strike: plan.Strike) -> stage.Gateway:
        gateways = self._stage.gateways
        return gateways[strike.target % len(gateways)]

    async def _kill(self, strike: plan.Strike) -> None:
        gateway = self._gateway(strike)
        if gateway.stopping:
            return
        gateway.stopping = True
        gateway.process.kill()
        await gateway.process.wait()
        await asyncio.sleep(strike.for_s)
        await self._stage.start_gateway(gateway)

    async def _pause(self, strike: plan.Strike) -> None:
        gateway = self._gateway(strike)
        if gateway.stopping:
            return
        gateway.stopping = True
        gateway.process.stop()
        await asyncio.sleep(strike.for_s)
        gateway.process.cont()
        gateway.stopping = False

    async def _stop(self, strike: plan.Strike) -> None:
        gateway = self._gateway(strike)
        if gateway.stopping:
            return
        gateway.stopping = True
        gateway.process.terminate()
        await self._ended(gateway, gateway.process)
        await self._stage.start_gateway(gateway)

    async def _ended(
        self, gateway: stage.Gateway, process: launch.Process
    ) -> None:
        try:
            code = await process.wait(STOP_BOUND_S)
        except TimeoutError:
            self._broken.append(f'{gateway.name} does not end by SIGTERM')
            process.kill()
            code = await process.wait()
        if code > 0:
            self._broken.append(f'{gateway.name} ended with {code}')

    async def _reload(self, strike: plan.Strike) -> None:
        gateway = self._gateway(strike)
        if not gateway.stopping:
            gateway.process.hang_up()

    async def _links(self, strike: plan.Strike) -> None:
        fault = strike.fault
        if fault.value.endswith('callers'):
            relay = self._gateway(strike).relay
        else:
            upstreams = self._stage.upstreams
            relay = upstreams[strike.target % len(upstreams)].relay
        if fault in (plan.Fault.DELAY_CALLERS, plan.Fault.DELAY_UPSTREAM):
            relay.delay(DELAY_S)
            await asyncio.sleep(strike.for_s)
            relay.delay(0.0)
        elif fault is plan.Fault.REFUSE_UPSTREAM:
            relay.refusing = True
            relay.cut()
            await asyncio.sleep(strike.for_s)
            relay.refusing = False
        elif fault is plan.Fault.SILENCE_ANSWERS:
            relay.silence(up=False)
        elif 'silence' in fault.value:
            relay.silence()
        else:
            relay.cut()

    async def _misbehave(self, strike: plan.Strike) -> None:
        desks = self._stage.of(stage.DESK)
        desk = desks[strike.target % len(desks)].server
        desk.scripts = [strike.script] * (1 + strike.target % 4)

    async def _leave(self, strike: plan.Strike) -> None:
        """An upstream gives notice and goes, and another takes its place."""
        upstream = self._pick(strike)
        if upstream is None:
            return
        await self._stage.add(upstream.service)
        if upstream.service == stage.WRITERS:
            upstream.server.leaving = True
            upstream.server.leaves_ms = round(NOTICE_S * 1000)
            row = upstream.row()
        else:
            row = upstream.row() | {'state': 'draining'}
        self._stage.store.put('servers', upstream.server.id, row)
        await asyncio.sleep(NOTICE_S)
        await self._remove(upstream)

    async def _crash(self, strike: plan.Strike) -> None:
        """An upstream is gone without a word; its row lapses later."""
        upstream = self._pick(strike)
        if upstream is None:
            return
        upstream.relay.refusing = True
        if upstream.service == stage.WRITERS:
            await upstream.server.crash()
        upstream.relay.cut()
        await asyncio.sleep(strike.for_s)
        await self._stage.add(upstream.service)
        await self._remove(upstream)

    def _pick(self, strike: plan.Strike) -> stage.Upstream | None:
        able = [
            one
            for one in self._stage.upstreams
            if one not in self._going
            and len(self._stage.of(one.service)) > FEWEST
        ]
        if not able:
            return None
        found = able[strike.target % len(able)]
        self._going.append(found)
        return found

    async def _remove(self, upstream: stage.Upstream) -> None:
        await self._stage.remove(upstream)
        self._going.remove(upstream)

    async def _store(self, strike: plan.Strike) -> None:
        store = self._stage.store
        is_busy = strike.fault is plan.Fault.STORE_BUSY
        store.down = 'busy' if is_busy else 'silent'
        await asyncio.sleep(strike.for_s)
        store.down = ''
        # What was held without an answer stays so; its callers give it up.
        self._cut_store()

    def _cut_store(self) -> None:
        for gateway in self._stage.gateways:
            gateway.store_relay.cut()

    async def _store_cut(self, strike: plan.Strike) -> None:
        del strike
        self._cut_store()

    async def _store_delay(self, strike: plan.Strike) -> None:
        relays = [gateway.store_relay for gateway in self._stage.gateways]
        for relay in relays:
            relay.delay(STORE_DELAY_S)
        await asyncio.sleep(strike.for_s)
        for relay in relays:
            relay.delay(0.0)

    async def _part(self, strike: plan.Strike) -> None:
        """A third of the gateways does not reach the store."""
        first = strike.target % PARTS
        relays = [one.store_relay for one in self._stage.gateways[first::PARTS]]
        for relay in relays:
            relay.refusing = True
            relay.cut()
        await asyncio.sleep(strike.for_s)
        for relay in relays:
            relay.refusing = False

    async def _drill(self, strike: plan.Strike) -> None:
        """The store is away, and comes back from a copy some seconds old."""
        store = self._stage.store
        rng = random.Random(strike.target)
        copy = store.snapshot()
        store.skip(BETWEEN)
        await asyncio.sleep(plan.copy_age_s(strike))
        store.cuts_watches = rng.random() < CUT_SHARE
        away_s = strike.for_s if strike.script else 0.0
        if self._goes_back:
            await store.restore(
                copy,
                rng,
                down=strike.script,
                away_s=away_s,
                rewrite_s=REWRITE_S,
                at_once=rng.choice(AT_ONCE),
                skipped=rng.choice(SKIPPED),
            )
        else:
            store.down = strike.script
            await asyncio.sleep(away_s)
            store.down = ''

    async def _reset_begun(self, strike: plan.Strike) -> None:
        engines = self._stage.of(stage.WRITERS)
        engine = engines[strike.target % len(engines)].server
        engine.reset_as_begun += 1 + strike.target % MOST_RESETS

    async def _forget(self, strike: plan.Strike) -> None:
        del strike
        self._stage.store.lose_history()

    async def _configure(self, strike: plan.Strike) -> None:
        del strike
        self._stage.configure()
