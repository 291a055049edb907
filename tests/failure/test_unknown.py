"""Who is told "unknown" can ask later, and is told what became of it."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.config import model
from quetzalsill_dev import board
from tests.failure import asking, fixture, relayed

RECOVER_S = 4.0
TOKENS = 300
TAKEN = 100


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
        await asking.until_served(self.cluster)
        self.first, self.second = self.cluster.routers.values()

    @fixture.on_cluster
    async def test_acceptance(self):
        """A clerk is told "unknown" under an id that nobody knows.

        The store takes the acceptance, its answer is lost, and the store
        falls silent. Once it is back the outcome can be had.
        """
        store = self.cluster.store
        lost = await asking.count(store, 'lost')
        # Not the answer to a router's renewal, which may come at any moment.
        await self.cluster.switch(store, lose_answers=1, lose_only='late')
        asked = asyncio.create_task(asking.order(self.first, 'late', 'late'))
        await asking.until_counted(store, 'lost', lost + 1)
        await self.cluster.switch(store, silent=True)
        told = await asked
        await self.cluster.switch(store, silent=False)
        later = await asking.settled(self.second, told)
        self.assertEqual((later.request, later.not_run), (told.request, True))
        self.assertEqual((await asking.ran(self.cluster)).count('late'), 0)

    @fixture.on_cluster
    async def test_link_that_is_lost_for_long(self):
        """A shop is told "unknown" for ever about an order that was taken.

        The links to both sidecars are lost under orders, which are overdue
        soon, and a brief, whose link is given up before. Once they are back
        the router learns what became of each, and tells who asks.
        """
        asks = {
            'order': (asking.order, '', 'deadline_exceeded'),
            'order-key': (asking.order, 'order', 'deadline_exceeded'),
            'brief': (asking.brief, 'brief', 'outcome_unknown'),
        }
        await self.slow_down(app_s=0.5, stall=True)
        asked = {
            name: asyncio.create_task(ask(self.first, name, key))
            for name, (ask, key, _) in asks.items()
        }
        await asking.until_ran(self.cluster, *asked)
        for way in self.relays.values():
            way.refusing = True
            way.cut()
        await self.slow_down(stall=False)
        told = await asyncio.gather(*asked.values())
        for way in self.relays.values():
            way.refusing = False
        for one, (name, (_, key, code)) in zip(told, asks.items(), strict=True):
            with self.subTest(name):
                self.assertEqual((one.code, one.not_run), (code, None))
                later = [
                    await asking.settled(router, one)
                    for router in (self.first, self.second)
                ]
                if key:
                    later.append(await asking.settled(self.second, key=key))
                self.assertTrue(all(one.answered for one in later), later)
        ran = await asking.ran(self.cluster)
        self.assertEqual([ran.count(name) for name in asked], [1] * len(asked))

    async def slow_down(self, app_s=0.0, stall=False):
        """Sets how slow the service is, and whether the engine makes steps."""
        await self.cluster.switch(
            self.cluster.upstreams[asking.APP], delay_s=app_s
        )
        await self.cluster.switch(
            self.cluster.upstreams[asking.ENGINE], stall=stall
        )

    @fixture.on_cluster
    async def test_request_that_nobody_knows_any_more(self):
        """A shop repeats an order that was taken, as told to.

        An order without a key was unknown to the only router that knew it,
        and that was killed. Nobody can tell now; "not found" is no "not run".
        """
        await self.cluster.switch(
            self.cluster.upstreams[asking.APP], close_orders=1
        )
        told = await asking.order(self.first, 'gone')
        self.first.kill()
        await self.first.wait()
        for ask in ({'told': told}, {'key': 'never-sent'}):
            later = await asking.settled(self.second, **ask)
            self.assertEqual((later.status, later.not_run), (404, None))

    @fixture.on_cluster
    async def test_router_that_dies_in_mid_answer(self):
        """Every answer of a link stalls, because one was asked after.

        A router is killed after its caller took part of a streamed brief.
        Asked through another one, its outcome is that it ran; what else runs
        over the links of that router is not disturbed.
        """
        answer, asked = self.ask(TOKENS, 'cut', 'brief', idempotency_key='cut')
        await self.until_tokens(TAKEN, answer)
        whole, other = self.ask(TOKENS, 'whole', router=1)
        await self.until_tokens(1, whole)
        ended = self.second.log_text().count('event=link_ended')
        self.first.kill()
        await asked
        later = await asking.settled(self.second, key='cut')
        self.assertEqual(later.not_run, False, later)
        await other
        self.assert_whole(whole, TOKENS)
        self.assertEqual(
            self.second.log_text().count('event=link_ended'), ended
        )


if __name__ == '__main__':
    unittest.main()
