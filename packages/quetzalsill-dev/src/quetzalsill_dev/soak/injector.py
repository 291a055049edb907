"""Injects scheduled faults into processes, links and servers of a soak run."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import random
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import TYPE_CHECKING

from quetzalsill_dev.soak import checks, plan
from quetzalsill_dev.soak import testbed as testbed_lib
from quetzalsill_dev.users_platform import caller, engine

if TYPE_CHECKING:
    from quetzalsill_dev import launch

__all__ = ['FaultInjector']

# From the notice of a leaving upstream until it stops and its row is removed.
DRAIN_NOTICE_S = 1.5
STOP_TIMEOUT_S = testbed_lib.STOP_GRACE_S + 3.0
LINK_DELAY_S = 0.15
STORE_DELAY_S = 0.6
MIN_SERVERS = 2
# One in this many gateways is cut off from the store.
PARTITION_STRIDE = 3
MAX_RESETS = 3
# Servers register again within two seconds of a restore.
REWRITE_S = 2.0
# Versions used up by other writers between the snapshot and the outage, and
# after the restore: none, or enough to pass the versions from before it.
VERSION_GAP = 50
VERSION_SKIPS = (0, 2 * VERSION_GAP)
# Share of drills that break off pending watches.
CUT_WATCHES_PROBABILITY = 0.5
# Share of lost rows written again before the store answers any call.
IMMEDIATE_REWRITE_SHARES = (0.0, 0.5, 1.0)
# A request that crashes engines is repeated at this interval.
CRASHING_INTERVAL_S = 0.15
# Requests with a part that crashes engines come at one of these intervals.
CRASHING_PART_INTERVALS_S = (0.05, 0.15, 0.3, 0.8)
# One in this many seeds has two such parts.
TWO_PARTS_STRIDE = 3
# A crashed engine is back after this time, and its old entry lapses.
ENGINE_RESTART_S = 0.7
# Limits that servers name, in requests a second.
SERVER_LIMITS = ('0.5', '2.5', '6', '20')
# One in this many seeds has a server without a limit.
UNLIMITED_STRIDE = 2
# Pauses that servers ask for, in seconds, and how many servers do.
PAUSES = ('0.7', '1.5', '3')
PAUSING_SERVERS = (1, 1, 2, 4)
# One rollout in this many goes back to the other version that serves.
ROLLBACK_STRIDE = 4
# Engines that are replaced at once end so long after they report that.
REPLACED_AFTER_S = 0.3
# One answer without end in this many comes slowly.
SLOW_STRIDE = 2
ENDLESS_INTERVAL_S = 0.1


class FaultInjector:
    """Injects faults, which may overlap.

    Attributes:
      crashing_sends: Gateway by id of each request that crashes engines.
      crashing_part_sends: The same for each part of a prompt that does.
      limited: Servers that named a limit.
      disrupted: Disruptions of links to upstreams.

    Faults of a gateway's process are skipped while it is down, paused or
    stopping; all other faults apply to the gateway even then.
    """

    def __init__(
        self, testbed: testbed_lib.Testbed, *, rolls_back: bool = True
    ) -> None:
        """Creates an injector with no active faults.

        Args:
          testbed: Processes and stand-ins to inject faults into.
          rolls_back: Whether the store loses its newest writes in a drill; if
            not, a drill is an outage of the same length.
        """
        self._testbed = testbed
        self._rolls_back = rolls_back
        self._tasks: set[asyncio.Task[None]] = set()
        self.crashing_sends: dict[str, str] = {}
        self.crashing_part_sends: dict[str, dict[str, str]] = {}
        self.limited: list[checks.LimitedServer] = []
        self.disrupted: list[checks.Disruption] = []
        testbed.fleet.on_crash = self._restart_engine
        self._violations: list[str] = []
        self._departing: list[testbed_lib.Upstream] = []
        fault = plan.Fault
        self._handlers: dict[
            plan.Fault, Callable[[plan.Injection], Coroutine[None, None, None]]
        ] = {
            fault.KILL: self._kill,
            fault.PAUSE: self._pause,
            fault.STOP: self._stop,
            fault.RELOAD: self._reload,
            fault.CUT_CALLERS: self._disrupt_link,
            fault.SILENCE_CALLERS: self._disrupt_link,
            fault.DELAY_CALLERS: self._disrupt_link,
            fault.CUT_UPSTREAM: self._disrupt_link,
            fault.SILENCE_UPSTREAM: self._disrupt_link,
            fault.SILENCE_RESPONSES: self._disrupt_link,
            fault.DELAY_UPSTREAM: self._disrupt_link,
            fault.REFUSE_UPSTREAM: self._disrupt_link,
            fault.MISBEHAVE: self._misbehave,
            fault.LEAVE: self._leave,
            fault.CRASH: self._crash,
            fault.STORE_BUSY: self._interrupt_store,
            fault.STORE_SILENT: self._interrupt_store,
            fault.STORE_CUT: self._store_cut,
            fault.STORE_DELAY: self._store_delay,
            fault.STORE_COMPACT: self._lose_store_history,
            fault.CONFIGURE: self._configure,
            fault.STORE_PARTITION: self._partition_store,
            fault.DRILL: self._drill,
            fault.RESET_ON_START: self._reset_on_start,
            fault.CRASHING_REQUEST: self._repeat_crashing_request,
            fault.CRASHING_PARTS: self._send_crashing_parts,
            fault.SERVER_LIMIT: self._name_limits,
            fault.LEAVING_RESPONSE: self._leave_by_response,
            fault.SERVER_PAUSE: self._ask_for_pauses,
            fault.VANISHED_ROW: self._lose_row,
            fault.ROLLOUT: self._roll_out,
            fault.ENDLESS_ANSWER: self._answer_without_end,
            fault.REPLACEMENT: self._replace_engines,
            fault.FLEET_KILL: self._kill_all,
        }

    def inject(self, injection: plan.Injection) -> None:
        """Starts a fault, which ends by itself."""
        task = asyncio.create_task(self._handlers[injection.fault](injection))
        self._tasks.add(task)

    async def wait(self) -> list[str]:
        """Waits until all faults have ended; returns the violations seen."""
        while pending := [task for task in self._tasks if not task.done()]:
            await asyncio.gather(*pending)
        await asyncio.gather(*self._tasks)
        return self._violations

    def _pick_gateway(self, injection: plan.Injection) -> testbed_lib.Gateway:
        gateways = self._testbed.gateways
        return gateways[injection.target % len(gateways)]

    async def _kill(self, injection: plan.Injection) -> None:
        gateway = self._pick_gateway(injection)
        if gateway.stopping:
            return
        gateway.stopping = True
        gateway.process.kill()
        await gateway.process.wait()
        await asyncio.sleep(injection.duration_s)
        await self._testbed.start_gateway(gateway)

    async def _kill_all(self, injection: plan.Injection) -> None:
        """Kills all gateways that run at the same moment."""
        killed = [one for one in self._testbed.gateways if not one.stopping]
        for gateway in killed:
            gateway.stopping = True
            gateway.process.kill()
        await asyncio.gather(*(one.process.wait() for one in killed))
        await asyncio.sleep(injection.duration_s)
        await asyncio.gather(*map(self._testbed.start_gateway, killed))

    async def _answer_without_end(self, injection: plan.Injection) -> None:
        """Has an engine answer new requests with bytes that never end."""
        engines = self._testbed.upstreams_of(testbed_lib.ENGINE_SERVICE)
        server = engines[injection.target % len(engines)].server
        is_slow = injection.target % SLOW_STRIDE == 0
        server.endless_interval_s = ENDLESS_INTERVAL_S if is_slow else 0.0
        server.endless = injection.variant
        await asyncio.sleep(injection.duration_s)
        server.endless = ''

    async def _pause(self, injection: plan.Injection) -> None:
        gateway = self._pick_gateway(injection)
        if gateway.stopping:
            return
        gateway.stopping = True
        gateway.process.stop()
        await asyncio.sleep(injection.duration_s)
        gateway.process.cont()
        gateway.stopping = False

    async def _stop(self, injection: plan.Injection) -> None:
        gateway = self._pick_gateway(injection)
        if gateway.stopping:
            return
        gateway.stopping = True
        gateway.process.terminate()
        await self._check_exit(gateway, gateway.process)
        await self._testbed.start_gateway(gateway)

    async def _check_exit(
        self, gateway: testbed_lib.Gateway, process: launch.Process
    ) -> None:
        try:
            code = await process.wait(STOP_TIMEOUT_S)
        except TimeoutError:
            self._violations.append(f'{gateway.name} does not end by SIGTERM')
            process.kill()
            code = await process.wait()
        if code > 0:
            self._violations.append(f'{gateway.name} ended with {code}')

    async def _reload(self, injection: plan.Injection) -> None:
        gateway = self._pick_gateway(injection)
        if not gateway.stopping:
            gateway.process.hang_up()

    async def _disrupt_link(self, injection: plan.Injection) -> None:
        fault = injection.fault
        if fault.value.endswith('callers'):
            relay = self._pick_gateway(injection).relay
        else:
            upstreams = self._testbed.upstreams
            upstream = upstreams[injection.target % len(upstreams)]
            relay = upstream.relay
            now = asyncio.get_running_loop().time()
            # A silenced connection stays silent.
            until_s = (
                math.inf
                if 'silence' in fault.value
                else now + injection.duration_s
            )
            self.disrupted.append(
                checks.Disruption(upstream.server.id, now, until_s)
            )
        if fault in (plan.Fault.DELAY_CALLERS, plan.Fault.DELAY_UPSTREAM):
            relay.delay(LINK_DELAY_S)
            await asyncio.sleep(injection.duration_s)
            relay.delay(0.0)
        elif fault is plan.Fault.REFUSE_UPSTREAM:
            relay.refusing = True
            relay.cut()
            await asyncio.sleep(injection.duration_s)
            relay.refusing = False
        elif fault is plan.Fault.SILENCE_RESPONSES:
            relay.silence(up=False)
        elif 'silence' in fault.value:
            relay.silence()
        else:
            relay.cut()

    async def _misbehave(self, injection: plan.Injection) -> None:
        upstreams = self._testbed.upstreams_of(testbed_lib.HTTP_SERVICE)
        server = upstreams[injection.target % len(upstreams)].server
        server.scripts = [injection.variant] * (1 + injection.target % 4)

    async def _leave(self, injection: plan.Injection) -> None:
        """Starts a new upstream, then drains and removes an old one."""
        upstream = self._pick_departing(injection)
        if upstream is None:
            return
        await self._testbed.add_upstream(upstream.service)
        if upstream.service == testbed_lib.ENGINE_SERVICE:
            upstream.server.leaving = True
            upstream.server.leaves_ms = round(DRAIN_NOTICE_S * 1000)
            row = upstream.row()
        else:
            row = upstream.row() | {'state': 'draining'}
        self._testbed.store.put('servers', upstream.server.id, row)
        await asyncio.sleep(DRAIN_NOTICE_S)
        await self._remove(upstream)

    async def _crash(self, injection: plan.Injection) -> None:
        """Crashes an upstream without notice; its row is removed later."""
        upstream = self._pick_departing(injection)
        if upstream is None:
            return
        upstream.relay.refusing = True
        if upstream.service == testbed_lib.ENGINE_SERVICE:
            await upstream.server.crash()
        upstream.relay.cut()
        await asyncio.sleep(injection.duration_s)
        await self._testbed.add_upstream(upstream.service)
        await self._remove(upstream)

    def _pick_departing(
        self, injection: plan.Injection
    ) -> testbed_lib.Upstream | None:
        candidates = [
            upstream
            for upstream in self._testbed.upstreams
            if upstream not in self._departing
            and len(self._testbed.upstreams_of(upstream.service)) > MIN_SERVERS
        ]
        if not candidates:
            return None
        selected = candidates[injection.target % len(candidates)]
        self._departing.append(selected)
        return selected

    async def _remove(self, upstream: testbed_lib.Upstream) -> None:
        await self._testbed.remove_upstream(upstream)
        self._departing.remove(upstream)

    async def _interrupt_store(self, injection: plan.Injection) -> None:
        store = self._testbed.store
        is_busy = injection.fault is plan.Fault.STORE_BUSY
        store.down = 'busy' if is_busy else 'silent'
        await asyncio.sleep(injection.duration_s)
        store.down = ''
        # Calls held during the outage stay unanswered, and callers give up.
        self._cut_store_links()

    def _cut_store_links(self) -> None:
        for gateway in self._testbed.gateways:
            gateway.store_relay.cut()

    async def _store_cut(self, injection: plan.Injection) -> None:
        del injection
        self._cut_store_links()

    async def _store_delay(self, injection: plan.Injection) -> None:
        relays = [gateway.store_relay for gateway in self._testbed.gateways]
        for relay in relays:
            relay.delay(STORE_DELAY_S)
        await asyncio.sleep(injection.duration_s)
        for relay in relays:
            relay.delay(0.0)

    async def _partition_store(self, injection: plan.Injection) -> None:
        """Cuts a third of the gateways off from the store."""
        first = injection.target % PARTITION_STRIDE
        relays = [
            gateway.store_relay
            for gateway in self._testbed.gateways[first::PARTITION_STRIDE]
        ]
        for relay in relays:
            relay.refusing = True
            relay.cut()
        await asyncio.sleep(injection.duration_s)
        for relay in relays:
            relay.refusing = False

    async def _drill(self, injection: plan.Injection) -> None:
        """Takes the store down and restores a snapshot some seconds old."""
        store = self._testbed.store
        rng = random.Random(injection.target)
        snapshot = store.snapshot()
        store.skip(VERSION_GAP)
        await asyncio.sleep(plan.snapshot_age_s(injection))
        store.resets_watches = rng.random() < CUT_WATCHES_PROBABILITY
        outage_s = injection.duration_s if injection.variant else 0.0
        if self._rolls_back:
            await store.restore(
                snapshot,
                rng,
                down=injection.variant,
                outage_s=outage_s,
                rewrite_s=REWRITE_S,
                immediate_share=rng.choice(IMMEDIATE_REWRITE_SHARES),
                skipped_versions=rng.choice(VERSION_SKIPS),
            )
        else:
            store.down = injection.variant
            await asyncio.sleep(outage_s)
            store.down = ''

    async def _reset_on_start(self, injection: plan.Injection) -> None:
        engines = self._testbed.upstreams_of(testbed_lib.ENGINE_SERVICE)
        engine = engines[injection.target % len(engines)].server
        engine.resets_at_start += 1 + injection.target % MAX_RESETS

    async def _lose_store_history(self, injection: plan.Injection) -> None:
        del injection
        self._testbed.store.compact()

    async def _configure(self, injection: plan.Injection) -> None:
        del injection
        self._testbed.publish_configuration()

    async def _repeat_crashing_request(self, injection: plan.Injection) -> None:
        """Repeats a request that crashes engines, with new ids, anywhere."""
        rng = random.Random(injection.target)
        async with asyncio.TaskGroup() as group:
            async for number in _every(
                CRASHING_INTERVAL_S, injection.duration_s
            ):
                gateway = rng.choice(self._testbed.gateways)
                request_id = f'c{number:015x}'
                self.crashing_sends[request_id] = gateway.name
                group.create_task(
                    _send_crashing(
                        gateway, request_id, testbed_lib.CRASHING_BODY
                    )
                )

    async def _send_crashing_parts(self, injection: plan.Injection) -> None:
        """Sends different requests with a part that crashes engines."""
        rng = random.Random(injection.target)
        count = 1 + (injection.target % TWO_PARTS_STRIDE == 0)
        parts = testbed_lib.CRASHING_PARTS[:count]
        interval_s = rng.choice(CRASHING_PART_INTERVALS_S)
        async with asyncio.TaskGroup() as group:
            async for number in _every(interval_s, injection.duration_s):
                gateway = rng.choice(self._testbed.gateways)
                part = rng.choice(parts)
                request_id = f'd{number:015x}'
                sends = self.crashing_part_sends.setdefault(part, {})
                sends[request_id] = gateway.name
                shared = (
                    (part, rng.choice(testbed_lib.SOUND_PARTS))
                    if injection.variant == 'first'
                    else (testbed_lib.COMMON_PART, part)
                )
                group.create_task(
                    _send_crashing(
                        gateway,
                        request_id,
                        b'prompt %d' % number,
                        testbed_lib.parts_header(*shared, f'e{number:x}'),
                    )
                )

    async def _name_limits(self, injection: plan.Injection) -> None:
        """Has all plain servers, or all but one, name a limit for a while."""
        rng = random.Random(injection.target)
        upstreams = self._testbed.upstreams_of(testbed_lib.HTTP_SERVICE)
        unlimited = injection.target % UNLIMITED_STRIDE
        loop = asyncio.get_running_loop()
        limited = []
        for upstream in upstreams[unlimited:]:
            upstream.server.limit = rng.choice(SERVER_LIMITS)
            per_s = float(upstream.server.limit)
            limited.append(
                checks.LimitedServer(upstream.server, per_s, loop.time())
            )
        self.limited += limited
        await asyncio.sleep(injection.duration_s)
        for one in limited:
            one.server.limit = ''
            one.until_s = loop.time()

    async def _leave_by_response(self, injection: plan.Injection) -> None:
        """Has an upstream leave whose row says ready until it is removed."""
        upstream = self._pick_departing(injection)
        if upstream is None:
            return
        await self._testbed.add_upstream(upstream.service)
        if upstream.service == testbed_lib.ENGINE_SERVICE:
            upstream.server.leaving_header = '1'
        else:
            upstream.server.leaving = '1'
        await asyncio.sleep(injection.duration_s)
        await self._remove(upstream)

    async def _lose_row(self, injection: plan.Injection) -> None:
        """Has the store lose a live upstream's row together with its history.

        Half of the engines leave at this moment, and only their reports say so.
        The other upstreams write their row again.
        """
        upstream = self._pick_departing(injection)
        if upstream is None:
            return
        await self._testbed.add_upstream(upstream.service)
        store, name = self._testbed.store, upstream.server.id
        is_engine = upstream.service == testbed_lib.ENGINE_SERVICE
        store.remove('servers', name)
        store.load_snapshot(store.snapshot())
        if is_engine and random.Random(injection.target).random() < 0.5:
            upstream.server.leaving = True
            upstream.server.leaves_ms = round(DRAIN_NOTICE_S * 1000)
            await asyncio.sleep(DRAIN_NOTICE_S)
            await self._remove(upstream)
            return
        await asyncio.sleep(injection.duration_s)
        if not upstream.server.server.is_listening:
            # A crashing request has stopped it meanwhile.
            await self._remove(upstream)
            return
        store.put('servers', name, upstream.row())
        self._departing.remove(upstream)

    async def _roll_out(self, injection: plan.Injection) -> None:
        """Replaces the engines of the oldest version one after the other.

        New ones run a version that was not there before, or in one seed of four
        the other one.
        """
        oldest, newer = self._testbed.versions
        is_rollback = injection.target % ROLLBACK_STRIDE == 0
        added = newer if is_rollback else f'v{int(newer[1:]) + 1}'
        self._testbed.versions = (newer, added)
        for upstream in self._testbed.engines_of(oldest):
            is_removed = upstream not in self._testbed.upstreams
            if is_removed or upstream in self._departing:
                continue
            self._departing.append(upstream)
            await self._testbed.add_upstream(upstream.service)
            # A crashing request may have stopped it meanwhile.
            if upstream.server.server.is_listening:
                upstream.server.leaving = True
                upstream.server.leaves_ms = round(DRAIN_NOTICE_S * 1000)
                store, name = self._testbed.store, upstream.server.id
                store.put('servers', name, upstream.row())
                await asyncio.sleep(DRAIN_NOTICE_S)
            await self._remove(upstream)

    async def _replace_engines(self, injection: plan.Injection) -> None:
        """Replaces all engines at once by those of a new version."""
        del injection
        testbed = self._testbed
        old = testbed.upstreams_of(testbed_lib.ENGINE_SERVICE)
        newest = testbed.versions[-1]
        testbed.versions = (f'v{int(newest[1:]) + 1}',)
        for upstream in old:
            self._departing.append(upstream)
            await testbed.add_upstream(upstream.service)
        for upstream in old:
            upstream.server.leaving = True
            testbed.store.put('servers', upstream.server.id, upstream.row())
        await asyncio.sleep(REPLACED_AFTER_S)
        await asyncio.gather(*map(self._remove, old))

    async def _ask_for_pauses(self, injection: plan.Injection) -> None:
        """Has some upstreams reject all requests and ask for pauses."""
        rng = random.Random(injection.target)
        service = rng.choice(
            (testbed_lib.HTTP_SERVICE, testbed_lib.ENGINE_SERVICE)
        )
        upstreams = self._testbed.upstreams_of(service)
        count = min(rng.choice(PAUSING_SERVERS), len(upstreams))
        pausing = rng.sample(upstreams, count)
        for upstream in pausing:
            upstream.server.retry_after = rng.choice(PAUSES)
        await asyncio.sleep(injection.duration_s)
        for upstream in pausing:
            upstream.server.retry_after = ''

    def _restart_engine(self, crashed: engine.Engine) -> None:
        """Replaces an engine that a request has crashed."""
        for upstream in self._testbed.upstreams:
            # Another fault may have removed it meanwhile.
            if upstream.server is crashed:
                task = asyncio.create_task(self._replace_engine(upstream))
                self._tasks.add(task)

    async def _replace_engine(self, upstream: testbed_lib.Upstream) -> None:
        is_departing = upstream in self._departing
        self._departing.append(upstream)
        # Connections are refused, as by a host whose process has ended.
        await upstream.relay.stop()
        await asyncio.sleep(ENGINE_RESTART_S)
        if not is_departing:
            await self._testbed.add_upstream(upstream.service)
            await self._testbed.remove_upstream(upstream)


async def _every(interval_s: float, duration_s: float) -> AsyncIterator[int]:
    """Yields numbers at an interval, for a while."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    for number in itertools.count():
        if loop.time() >= end_s:
            return
        yield number
        await asyncio.sleep(interval_s)


async def _send_crashing(
    gateway: testbed_lib.Gateway,
    request_id: str,
    body: bytes,
    headers: dict[str, str] | None = None,
) -> None:
    conn = caller.Caller('127.0.0.1', gateway.relay.port)
    with contextlib.suppress(TimeoutError, OSError):
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await conn.request(
                '/verdict/crashing',
                method='POST',
                body=body,
                request_id=request_id,
                headers=headers,
            )
    conn.disconnect()
