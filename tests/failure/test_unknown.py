"""Who is told "unknown" can ask later, and is told what became of it."""

from __future__ import annotations

import asyncio
import unittest

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
            self.cluster.store, lose_answers=0, lose_only='', silent=False
        )
        await super().restore()
        await harness.wait_until_served(self.cluster)
        self.first, self.second = self.cluster.routers.values()

    @fixture.on_cluster
    async def test_acceptance(self):
        """A clerk is told "unknown" under an id that nobody knows.

        The store takes the acceptance, its answer is lost, and the store
        falls silent. Once it is back the outcome can be had.
        """
        store = self.cluster.store
        lost = await harness.read_count(store, 'lost')
        # Not the answer to a router's renewal, which may come at any moment.
        await self.cluster.switch(store, lose_answers=1, lose_only='late')
        tasks = asyncio.create_task(
            harness.send_order(self.first, 'late', 'late')
        )
        await harness.wait_for_count(store, 'lost', lost + 1)
        await self.cluster.switch(store, silent=True)
        result = await tasks
        await self.cluster.switch(store, silent=False)
        later = await harness.wait_for_outcome(self.second, result)
        self.assertEqual((later.request, later.not_run), (result.request, True))
        self.assertEqual(
            (await harness.count_runs(self.cluster)).count('late'), 0
        )

    @fixture.on_cluster
    async def test_link_that_is_lost_for_long(self):
        """A shop is told "unknown" for ever about an order that was taken.

        The links to both sidecars are lost under orders, which are overdue
        soon, and a brief, whose link is given up before. Once they are back
        the router learns what became of each, and tells who asks.
        """
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
        """Sets how slow the service is, and whether the engine makes steps."""
        await self.cluster.switch(
            self.cluster.upstreams[harness.APP], delay_s=app_s
        )
        await self.cluster.switch(
            self.cluster.upstreams[harness.ENGINE], stall=stall
        )

    @fixture.on_cluster
    async def test_request_that_nobody_knows_any_more(self):
        """A shop repeats an order that was taken, as told to.

        An order without a key was unknown to the only router that knew it,
        and that was killed. Nobody can tell now; "not found" is no "not run".
        """
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
        """Every answer of a link stalls, because one was asked after.

        A router is killed after its caller took part of a streamed brief.
        Asked through another one, its outcome is that it ran; what else runs
        over the links of that router is not disturbed.
        """
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
