"""Orders and briefs reach their upstream at most once during failures."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.config import model
from quetzalsill_dev import board
from tests.failure import fixture, harness

# A request function for each kind of work that may not run twice.
ASKS = {
    'order': harness.send_order,
    'brief': harness.send_brief,
    'scene': harness.send_scene,
}
CLAIMS = '"claims"'
CLAIMED = 'row_written:claims'


class AtMostOnceTest(fixture.SharedClusterTestCase):
    """Two routers, an HTTP service and an engine."""

    CHANGES = {
        'router': {
            'durable': {'heartbeat_s': 0.25, 'accept_s': 2.0},
            'requests': {'conflict_wait_s': 1.0, 'recover_s': 60.0},
        }
    }

    @classmethod
    def configuration(cls):
        cfg = board.configuration()
        cfg.profiles['brief'] = model.Profile(idempotent=False)
        cfg.profiles['scene'] = model.Profile(
            idempotent=False, durable=True, delivery='whole'
        )
        return cfg

    async def restore(self):
        await self.slow_down(store_s=0, app_s=0, stall=False)
        await self.cluster.switch(
            self.cluster.store, lose_answers=0, lose_only=''
        )
        await self.cluster.switch(self.app, close_orders=0)
        await super().restore()
        await harness.wait_until_served(self.cluster)
        self.first, self.second = self.cluster.routers.values()

    @property
    def app(self):
        return self.cluster.upstreams[harness.APP]

    async def slow_down(self, store_s=0.0, app_s=0.0, stall=False):
        """Sets the delays of store and service; `stall` stops the engine."""
        engine = self.cluster.upstreams[harness.ENGINE]
        await self.cluster.switch(self.cluster.store, slow_s=store_s)
        await self.cluster.switch(self.app, delay_s=app_s)
        await self.cluster.switch(engine, stall=stall)

    @fixture.on_cluster
    async def test_repeat_while_the_first_router_is_paused(self):
        """An order runs twice: its router is paused and the client retries."""
        for step in ('unread', 'claimed', 'dispatched'):
            await self.check_fault_at(step, 'pause', self.pause)

    @fixture.on_cluster
    async def test_repeat_after_the_first_router_was_killed(self):
        """A brief runs twice: its router is killed and the client retries."""
        for step in ('claimed', 'dispatched'):
            await self.check_fault_at(step, 'kill', self.kill)

    @fixture.on_cluster
    async def test_repeat_after_router_and_sidecars_were_killed(self):
        """The new owner trusts a restarted sidecar that has lost its state."""
        await self.check_fault_at(
            'dispatched', 'rack', self.kill_router_and_sidecars, lost=('order',)
        )

    async def pause(self):
        """Pauses the first router."""
        self.first.stop()

    async def kill(self):
        """Kills the first router."""
        self.first.kill()

    async def kill_router_and_sidecars(self):
        """Kills the first router and the sidecars, and restarts the latter."""
        self.first.kill()
        await self.restart_sidecars()

    async def restart_sidecars(self):
        """Kills all sidecars and restarts them at their addresses."""
        sidecars = dict(self.cluster.sidecars)
        for sidecar in sidecars.values():
            sidecar.kill()
        for sidecar in sidecars.values():
            await sidecar.wait()
        await asyncio.gather(*map(self.cluster.start_sidecar, sidecars))

    async def check_fault_at(self, step, fault, inject, lost=()):
        """Injects a fault into the first router while its clients retry.

        Args:
          step: State of the requests when the fault is injected.
          fault: Name of the fault.
          inject: Injects the fault.
          lost: Kinds of work whose outcome is unknown afterwards.
        """
        await self.restore()
        names = {f'{kind}-{fault}-{step}': ASKS[kind] for kind in ASKS}
        if step == 'unread':
            await inject()
        tasks, keyless = await self.send_until(step, names)
        if step != 'unread':
            await inject()
        await self.slow_down()
        repeated = [
            asyncio.create_task(harness.retry(ask, self.second, name, name))
            for name, ask in names.items()
        ]
        await asyncio.gather(*repeated)
        self.first.cont()
        await asyncio.gather(*tasks, *keyless.values())
        run_counts = await harness.count_runs(self.cluster)
        for name, task in keyless.items():
            with self.subTest(name, result=task.result()):
                max_runs = 0 if task.result().not_run else 1
                self.assertLessEqual(run_counts.count(name), max_runs)
        for name, task in zip(names, repeated, strict=True):
            with self.subTest(name, result=task.result()):
                self.assertEqual(run_counts.count(name), 1)
                code = 'outcome_unknown' if name.startswith(lost) else ''
                self.assertEqual(task.result().code, code)

    async def send_until(self, step, names):
        """Sends requests to the first router and waits until all are at a step.

        Returns:
          The tasks of requests with an idempotency key; and, by name, those
          without one, which can't be retried.
        """
        store_s = 0.4 if step == 'claimed' else 0
        runs = step == 'dispatched'
        await self.slow_down(store_s, app_s=runs * 1.0, stall=runs)
        claims = await harness.read_count(self.cluster.store, CLAIMED)
        tasks = [
            asyncio.create_task(ask(self.first, name, name))
            for name, ask in names.items()
        ]
        keyless = {
            f'{name}-keyless': asyncio.create_task(
                ask(self.first, f'{name}-keyless')
            )
            for name, ask in names.items()
        }
        if step == 'claimed':
            await harness.wait_for_count(
                self.cluster.store, CLAIMED, claims + len(names)
            )
        if runs:
            await harness.wait_until_ran(self.cluster, *names)
        return tasks, keyless

    @fixture.on_cluster
    async def test_lost_answer_to_the_write_of_a_claim(self):
        """An order is refused forever, or a retry runs it again.

        The store writes the claim of the key, but its response is lost.
        """
        for losses in (1, 2, 20):
            names = {kind: f'{kind}-lost-{losses}' for kind in ASKS}
            lost = await harness.read_count(self.cluster.store, 'lost')
            await self.cluster.switch(
                self.cluster.store, lose_answers=losses, lose_only=CLAIMS
            )
            results = await asyncio.gather(
                *(ASKS[kind](self.first, n, n) for kind, n in names.items())
            )
            self.assertGreater(
                await harness.read_count(self.cluster.store, 'lost'), lost
            )
            before = await harness.count_runs(self.cluster)
            await self.cluster.switch(self.cluster.store, lose_answers=0)
            again = await asyncio.gather(
                *(
                    harness.retry(ASKS[kind], self.second, n, n)
                    for kind, n in names.items()
                )
            )
            run_counts = await harness.count_runs(self.cluster)
            for name, first_result, second_result in zip(
                names.values(), results, again, strict=True
            ):
                with self.subTest(name, result=first_result):
                    self.assertEqual(before.count(name), first_result.succeeded)
                    self.assertTrue(second_result.succeeded, second_result)
                    self.assertEqual(run_counts.count(name), 1)

    @fixture.on_cluster
    async def test_sidecar_is_killed_while_its_upstream_works(self):
        """A restarted sidecar sends again what the old process had sent."""
        await self.slow_down(app_s=1.0, stall=True)
        names = {
            f'{kind}-sidecar-{key}': (ask, key * f'{kind}-sidecar')
            for kind, ask in ASKS.items()
            for key in (0, 1)
        }
        tasks = [
            asyncio.create_task(ask(self.first, name, key))
            for name, (ask, key) in names.items()
        ]
        await harness.wait_until_ran(self.cluster, *names)
        await self.restart_sidecars()
        await self.slow_down()
        results = await asyncio.gather(*tasks)
        run_counts = await harness.count_runs(self.cluster)
        for name, first_result in zip(names, results, strict=True):
            with self.subTest(name):
                self.assertEqual(run_counts.count(name), 1)
                if not name.startswith('order'):
                    self.assertTrue(first_result.succeeded, first_result)
                    continue
                await self.assert_unknown(first_result)

    async def assert_unknown(self, result, code='outcome_unknown'):
        """Checks that the outcome is unknown, and `code` when polled later."""
        self.assertEqual(
            (result.code, result.not_run), ('outcome_unknown', None)
        )
        later = await harness.wait_for_outcome(self.first, result)
        self.assertEqual(later.request, result.request)
        self.assertEqual(later.code, code)

    @fixture.on_cluster
    async def test_service_closes_the_connection_under_an_order(self):
        """The HTTP client library resends an order on a closed connection."""
        await self.cluster.switch(self.app, close_orders=2)
        names = {'order-closed': '', 'order-closed-key': 'closed'}
        for name, key in names.items():
            await self.assert_unknown(
                await harness.send_order(self.first, name, key)
            )
        again = await harness.send_order(
            self.second, 'order-closed-key', 'closed'
        )
        self.assertEqual(again.code, 'outcome_unknown')
        run_counts = await harness.count_runs(self.cluster)
        self.assertEqual([run_counts.count(name) for name in names], [1, 1])


if __name__ == '__main__':
    unittest.main()
