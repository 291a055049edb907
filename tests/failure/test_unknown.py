"""A client that gets "outcome unknown" can query the outcome later."""

from __future__ import annotations

import asyncio
import functools
import unittest
import uuid

from quetzalsill.config import model
from quetzalsill_dev import board
from tests.failure import fixture, harness, relayed

RECOVER_S = 4.0
TOKENS = 300
MIN_TOKENS = 100


class UnknownOutcomeTest(relayed.RelayedTestCase):
    """Two routers, a service and an engine, each sidecar behind a relay."""

    CHANGES = {
        'router': {
            'durable': {'heartbeat_s': 0.25},
            'requests': {'conflict_wait_s': 1.0, 'recover_s': RECOVER_S},
        }
    }

    @classmethod
    def configuration(cls):
        cfg = super().configuration()
        cfg.profiles['brief'] = model.Profile(idempotent=False)
        (orders,) = (
            route
            for route in cfg.services[board.SERVICE].routes
            if route.path == '/orders'
        )
        orders.timeout_s = RECOVER_S / 2
        return cfg

    async def restore(self):
        await self.cluster.switch(
            self.cluster.store,
            lose_answers=0,
            lose_only='',
            silent_after_loss=False,
            silent=False,
        )
        await self.slow_down()
        await self.cluster.switch(
            self.cluster.upstreams[harness.APP], close_orders=0
        )
        await super().restore()
        await harness.wait_until_served(self.cluster)
        self.first, self.second = self.cluster.routers.values()
        # After a fault of the store, a write without an answer can hold up a
        # router's journal until its log is taken over; entries that wait
        # behind it are then refused as not run.
        for router in (self.first, self.second):
            await harness.wait_until(functools.partial(self.journals, router))

    async def journals(self, router):
        """Whether a router stores the acceptance of an order."""
        key = uuid.uuid4().hex
        return (await harness.send_order(router, 'test', key)).succeeded

    @fixture.on_cluster
    async def test_acceptance(self):
        """A client gets "outcome unknown" and a request id that is unknown."""
        store = self.cluster.store
        lost = await harness.read_count(store, 'lost')
        # Only this write, not a router's renewal, which may come at any time.
        # The store itself becomes silent: a switch set by the test could come
        # after the retry of the write, and the order would run.
        await self.cluster.switch(
            store, lose_answers=1, lose_only='late', silent_after_loss=True
        )
        tasks = asyncio.create_task(
            harness.send_order(self.first, 'late', 'late')
        )
        await harness.wait_for_count(store, 'lost', lost + 1)
        result = await tasks
        await self.cluster.switch(store, silent=False)
        later = await harness.wait_for_outcome(self.second, result)
        self.assertEqual((later.request, later.not_run), (result.request, True))
        self.assertEqual(
            (await harness.count_runs(self.cluster)).count('late'), 0
        )

    @fixture.on_cluster
    async def test_link_that_is_lost_for_long(self):
        """The outcome of an order that ran stays unknown forever."""
        asks = {
            'order': (harness.send_order, '', 'deadline_exceeded'),
            'order-key': (harness.send_order, 'order', 'deadline_exceeded'),
            'brief': (harness.send_brief, 'brief', 'outcome_unknown'),
        }
        await self.slow_down(app_s=0.5, stall=True)
        tasks = {
            name: asyncio.create_task(ask(self.first, name, key))
            for name, (ask, key, _) in asks.items()
        }
        await harness.wait_until_ran(self.cluster, *tasks)
        for proxy in self.relays.values():
            proxy.refusing = True
            proxy.cut()
        await self.slow_down(stall=False)
        results = await asyncio.gather(*tasks.values())
        for proxy in self.relays.values():
            proxy.refusing = False
        for item, (name, (_, key, code)) in zip(
            results, asks.items(), strict=True
        ):
            with self.subTest(name):
                self.assertEqual((item.code, item.not_run), (code, None))
                later = [
                    await harness.wait_for_outcome(router, item)
                    for router in (self.first, self.second)
                ]
                if key:
                    later.append(
                        await harness.wait_for_outcome(self.second, key=key)
                    )
                self.assertTrue(all(item.succeeded for item in later), later)
        run_counts = await harness.count_runs(self.cluster)
        self.assertEqual(
            [run_counts.count(name) for name in tasks], [1] * len(tasks)
        )

    async def slow_down(self, app_s=0.0, stall=False):
        """Sets the delay of the service, and whether the engine stalls."""
        await self.cluster.switch(
            self.cluster.upstreams[harness.APP], delay_s=app_s
        )
        await self.cluster.switch(
            self.cluster.upstreams[harness.ENGINE], stall=stall
        )

    @fixture.on_cluster
    async def test_request_that_nobody_knows_any_more(self):
        """A client repeats an order that ran, because it is not found."""
        await self.cluster.switch(
            self.cluster.upstreams[harness.APP], close_orders=1
        )
        result = await harness.send_order(self.first, 'gone')
        self.first.kill()
        await self.first.wait()
        for ask in ({'result': result}, {'key': 'never-sent'}):
            later = await harness.wait_for_outcome(self.second, **ask)
            self.assertEqual((later.status, later.not_run), (404, None))

    @fixture.on_cluster
    async def test_router_killed_in_mid_answer(self):
        """A query about one answer stalls all others on the link."""
        answer, tasks = self.start_request(
            TOKENS, 'cut', 'brief', idempotency_key='cut'
        )
        await self.wait_for_tokens(MIN_TOKENS, answer)
        other_answer, other_task = self.start_request(TOKENS, 'whole', router=1)
        await self.wait_for_tokens(1, other_answer)
        ended = self.second.log_text().count('event=link_ended')
        self.first.kill()
        await tasks
        later = await harness.wait_for_outcome(self.second, key='cut')
        self.assertEqual(later.not_run, False, later)
        await other_task
        self.assert_whole(other_answer, TOKENS)
        self.assertEqual(
            self.second.log_text().count('event=link_ended'), ended
        )


if __name__ == '__main__':
    unittest.main()
