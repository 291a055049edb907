"""An upstream that is leaving gets no new work and loses none."""

from __future__ import annotations

import asyncio
import collections
import unittest

from quetzalsill_dev import board
from tests.failure import fixture, harness, relayed, traffic

RECLAIMED = 'model-ikeja-hall-1'
LOST = 'model-lekki-hall-3'
APP = 'app-ikeja-hall-1'
REMAINING = 'model-apapa-hall-2'
LEAVING = (RECLAIMED, LOST, APP)
HOST_LIST_LAG_S = 30.0
LINK_DELAY_S = 0.2
SLOW_LINK_S = 0.5
LONG = 1000
ORDERS = 6
PLANS = 12
PLAN_TOKENS = 200


class LeavingTest(relayed.RelayedTestCase):
    """Two routers; three engines and two services, of which three leave.

    The host list lags by 30 s, longer than any of the tests. Messages on the
    links of the leaving upstreams are delayed by 0.2 s, so that routers send
    them work after the notice.
    """

    LAYOUT = board.board_layout(engines=3, services=2, routers=2)
    CHANGES = {
        'router': {'requests': {'recover_s': 1.0}},
        'sidecar': {'bounds': {'running': 3}, 'timing': {'refused_s': 0.5}},
    }

    RELAYED = tuple(f'sidecar:{name}' for name in LEAVING)

    async def restore(self):
        for name, process in self.cluster.upstreams.items():
            if not process.running:
                await self.cluster.start_upstream(name)
        engine = self.cluster.upstreams[RECLAIMED]
        await self.cluster.switch(engine, leaving=False)
        await self.cluster.switch(self.cluster.hosts, lag_s=HOST_LIST_LAG_S)
        await super().restore()
        for proxy in self.relays.values():
            proxy.delay(LINK_DELAY_S)
        self.routers = list(self.cluster.routers.values())
        await traffic.wait_for_state(self.routers, 'live')

    async def announce_by_engine(self, name=RECLAIMED):
        """Gives notice through the engine's load report."""
        await self.cluster.switch(self.cluster.upstreams[name], leaving=True)
        return await self.wait_for_leaving(name)

    async def terminate_sidecar(self, name):
        """Gives notice by SIGTERM to the sidecar."""
        self.cluster.sidecars[name].terminate()
        return await self.wait_for_leaving(name)

    async def wait_for_leaving(self, name):
        """Waits until the sidecar logs the notice; returns the log position."""
        return await traffic.wait_for_log(
            self.cluster.sidecars[name], 'event=leaving'
        )

    async def drain_as_operator(self, name):
        """Drains the upstream as an operator; returns the log position."""
        revision = await traffic.drain(self.routers[1], name)
        return await traffic.wait_for_log(
            self.cluster.sidecars[name],
            'event=configuration_installed',
            f'revision={revision}',
        )

    @fixture.on_cluster
    async def test_nothing_new_after_the_notice(self):
        """A request starts on an upstream that has given notice."""
        async with traffic.Traffic(self.routers) as load:
            positions = await asyncio.gather(
                self.announce_by_engine(RECLAIMED),
                self.terminate_sidecar(LOST),
                self.terminate_sidecar(APP),
            )
            await load.wait_for_more()
        load.assert_served(self)
        await self.assert_nothing_new(LEAVING, positions)
        for name in LEAVING:
            self.assertEqual(await self.cluster.sidecars[name].wait(), 0)

    @fixture.on_cluster
    async def test_orders_on_their_way_while_the_sidecar_ends(self):
        """Orders in transit are lost when their sidecar exits."""
        proxy = self.relays[f'sidecar:{APP}']
        proxy.delay(SLOW_LINK_S)
        before = proxy.received_up
        tasks = [
            asyncio.create_task(
                harness.send_order(router, f'{number}{"order" * LONG}')
            )
            for number, router in enumerate(self.routers * ORDERS)
        ]

        async def sent():
            return proxy.received_up > before + LONG

        await harness.wait_until(sent)
        self.cluster.sidecars[APP].terminate()
        for result in await asyncio.gather(*tasks):
            self.assertTrue(result.succeeded, result.code)
        self.assertEqual(await self.cluster.sidecars[APP].wait(), 0)

    @fixture.on_cluster
    async def test_nothing_new_after_a_drain(self):
        """A drained host still gets new work."""
        drained = (RECLAIMED, APP)
        async with traffic.Traffic(self.routers) as load:
            positions = [await self.drain_as_operator(name) for name in drained]
            await load.wait_for_more()
        load.assert_served(self)
        await self.assert_nothing_new(drained, positions)
        for name in drained:
            await traffic.drain(self.routers[1], name, undo=True)

    async def assert_nothing_new(self, names, positions):
        """Checks that no attempt started after each log position."""
        for name, position in zip(names, positions, strict=True):
            with self.subTest(name):
                sidecar = self.cluster.sidecars[name]
                self.assertTrue(traffic.started_attempts(sidecar))
                self.assertEqual(
                    traffic.started_attempts(sidecar, position), []
                )
                await self.assert_ran_only_what_was_started(name)

    async def assert_ran_only_what_was_started(self, name):
        """Checks that the upstream ran only what its sidecars started."""
        started = [
            ident
            for process in self.launcher.processes
            if process.name == f'sidecar-{name}'
            for ident in traffic.started_attempts(process)
        ]
        audit = await self.cluster.audit(name)
        if name == APP:
            self.assertLessEqual(sum(audit['orders'].values()), len(started))
            return
        run_ids = {run['request_id'] for run in audit['runs']}
        self.assertLessEqual(run_ids, set(started))

    @fixture.on_cluster
    async def test_reclaimed_at_short_notice(self):
        """A generation is lost with an engine killed soon after its notice."""
        names = [f'plan-{number}' for number in range(PLANS)]
        tasks = [
            asyncio.create_task(
                traffic.generate(router, name, PLAN_TOKENS, 'patient')
            )
            for router, name in zip(self.routers * PLANS, names, strict=False)
        ]
        reclaimed = (RECLAIMED, LOST)
        for name in reclaimed:
            await traffic.wait_until_running(self.cluster, name, 3)
        await asyncio.gather(*map(self.announce_by_engine, reclaimed))
        # A run that ends between the audit and the kill would be in no audit.
        for name in reclaimed:
            engine = self.cluster.upstreams[name]
            await self.cluster.switch(engine, stall=True)
        found = [await self.cluster.audit(name) for name in reclaimed]
        for name in reclaimed:
            self.cluster.upstreams[name].kill()
            await self.cluster.upstreams[name].wait()
        self.cluster.sidecars[LOST].kill()
        answers = await asyncio.gather(*tasks)
        for name in reclaimed:
            await self.cluster.sidecars[name].wait()
        found.append(await self.cluster.audit(REMAINING))
        finished = collections.Counter(
            run['prompt_digest']
            for audit in found
            for run in audit['runs']
            if run['finished']
        )
        for name, answer in zip(names, answers, strict=True):
            with self.subTest(name):
                self.assertEqual(answer.status, 200, answer.error)
                self.assertTrue(answer.is_complete, answer)
                self.assertEqual(len(answer.texts), PLAN_TOKENS)
                run_ids = finished[traffic.digest(name, PLAN_TOKENS)]
                self.assertEqual(run_ids, 1)


if __name__ == '__main__':
    unittest.main()
