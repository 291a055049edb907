"""What is called "not run" never ran, whatever fails meanwhile.

Callers ask for more than two small engines and a service take. What each was
told, and what each sidecar refused, is held against what the upstreams say
reached them.
"""

from __future__ import annotations

import asyncio
import re
import unittest

from quetzalsill.config import model
from quetzalsill_dev import board
from tests.failure import asking, fixture, relayed

CALLERS = 45
ASKS = (asking.order, asking.brief, asking.query)
ENGINES = (asking.ENGINE, 'model-apapa-hall-2')
REFUSED = r'event=attempt_(?:refused|withdrawn) .*\battempt=(\S+)'
WITHDRAWN = 'event=attempt_withdrawn '
LINK_ENDED = 'event=link_ended .*upstream='
UNLINKED = 'event=router_unlinked '
NEVER_CAME = 'event=attempt_ended .*detail="the dispatch was lost'
LATE_S = 1.5
DELAY_S = 0.03
SLOW = 10
LOOKS_S = 0.7


class NotRunTest(relayed.RelayedTestCase):
    """Two routers; each sidecar behind a relay."""

    LAYOUT = board.board_layout(engines=2, services=1, routers=2)
    CHANGES = {
        'sidecar': {
            'bounds': {'queue': 6, 'running': 3},
            'link': {'idle_s': 0.2, 'silence_s': 5.0},
        },
        'router': {
            'links': {'idle_s': 0.2, 'silence_s': 0.6, 'connect_s': 0.6},
            'requests': {'recover_s': 8.0},
        },
    }

    @classmethod
    def configuration(cls):
        cfg = board.configuration()
        cfg.profiles['brief'] = model.Profile(idempotent=False)
        return cfg

    async def restore(self):
        await self.slow_down(1)
        await super().restore()
        await asking.until_served(self.cluster)

    async def slow_down(self, factor, stall=False):
        """Sets how slow the first engine is, and whether it makes no step."""
        engine = self.cluster.upstreams[asking.ENGINE]
        await self.cluster.switch(engine, slow=factor, stall=stall)

    def ask_all(self, prefix):
        """Starts all callers; gives their tasks by name of the work."""
        routers = list(self.cluster.routers.values())
        return {
            f'{prefix}-{n}': asyncio.create_task(
                ASKS[n % len(ASKS)](routers[n % len(routers)], f'{prefix}-{n}')
            )
            for n in range(CALLERS)
        }

    async def until_some_ran(self, asked):
        """Waits until a few of the callers' requests reached an upstream."""

        async def some_ran():
            ran = await asking.ran(self.cluster, ENGINES)
            return sum(map(ran.count, asked)) >= len(ENGINES)

        await asking.until(some_ran)

    async def audit(self, asked):
        """Holds every refusal against what ran."""
        told = {name: await task for name, task in asked.items()}
        ran = await asking.ran(self.cluster, ENGINES)
        for number, (name, one) in enumerate(told.items()):
            with self.subTest(name, told=one):
                if ASKS[number % len(ASKS)] is not asking.query:
                    self.assertLessEqual(ran.count(name), 1)
                if one.not_run:
                    self.assertEqual(ran.count(name), 0)
                if one.answered:
                    self.assertGreaterEqual(ran.count(name), 1)
        refused = {found[1] for found in self.logged(REFUSED)}
        self.assertFalse(ran.attempts & refused)
        self.assertTrue(any(ran.count(name) for name in told))
        return told

    def logged(self, what):
        """What a pattern finds in the logs of routers and sidecars."""
        return [
            found
            for process in self.launcher.processes
            for found in re.finditer(what, process.log_text())
        ]

    def count(self, what):
        """How often a pattern is found in the logs."""
        return len(self.logged(what))

    @fixture.on_cluster
    async def test_while_queues_overflow(self):
        """A shop is told to come back, and its order is on the truck.

        More callers come at once than the queues hold; those in excess are
        refused, some after a second upstream was tried.
        """
        told = await self.audit(self.ask_all('full'))
        self.assertTrue(any(one.not_run for one in told.values()))

    @fixture.on_cluster
    async def test_while_links_break_under_a_dispatch(self):
        """A brief is called "not run" because nobody answered for it.

        All links are cut with Dispatches and answers in flight, and again
        once they are back.
        """
        for way in self.relays.values():
            way.delay(DELAY_S)
        asked = self.ask_all('cut')
        for _ in range(3):
            await self.until_some_ran(asked)
            accepted = [way.accepted for way in self.relays.values()]
            for way in self.relays.values():
                way.cut()

            async def linked(accepted=accepted):
                ways = self.relays.values()
                return all(
                    way.accepted > before
                    for way, before in zip(ways, accepted, strict=True)
                )

            await asking.until(linked)
        await self.audit(asked)

    @fixture.on_cluster
    async def test_while_dispatches_arrive_late(self):
        """An order is sent elsewhere, and its first Dispatch still arrives.

        Links fall silent with Dispatches in them; routers ask on new ones,
        are told that nothing came, and only then the old ones deliver.
        """
        came, ended = map(self.count, (NEVER_CAME, UNLINKED))
        for way in self.relays.values():
            way.hold_back(LATE_S)
            way.silence(up=False)
        asked = self.ask_all('late')
        await asyncio.gather(*asked.values())
        links = len(self.relays) * len(self.cluster.routers)

        async def delivered():
            return self.count(UNLINKED) >= ended + links

        await asking.until(delivered)
        await self.audit(asked)
        self.assertGreater(self.count(NEVER_CAME), came)

    @fixture.on_cluster
    async def test_while_sidecars_are_paused(self):
        """A paused sidecar wakes and serves what was sent elsewhere.

        Sidecars are stopped with Dispatches unread. Routers find their links
        silent and dial anew; at the wake both the old links and the new ones
        have something to say of the same attempts.
        """
        ended = self.count(LINK_ENDED)
        for sidecar in self.cluster.sidecars.values():
            sidecar.stop()
        asked = self.ask_all('paused')
        links = len(self.relays) * len(self.cluster.routers)

        async def found_silent():
            return self.count(LINK_ENDED) >= ended + links

        await asking.until(found_silent)
        for sidecar in self.cluster.sidecars.values():
            sidecar.cont()
        await self.audit(asked)

    @fixture.on_cluster
    async def test_while_withdrawals_race_the_start(self):
        """A tag check is made by two engines.

        The link to a slow engine is lost while some wait there. The routers
        take them back for the idle engine as soon as they are linked again,
        while the sidecar goes on starting one after the other.
        """
        way = self.relays[f'sidecar:{asking.ENGINE}']
        before = self.count(WITHDRAWN)
        await self.slow_down(SLOW, stall=True)
        asked = self.ask_all('moved')

        async def rest_is_done():
            return sum(task.done() for task in asked.values()) > CALLERS / 2

        await asking.until(rest_is_done)
        first = await self.reached()
        way.refusing = True
        way.cut()
        # By then both routers want back what waits; what starts in spite of
        # that, while they are not linked, must not be given back.
        await asyncio.sleep(LOOKS_S)
        await self.slow_down(SLOW)

        async def next_has_started():
            return await self.reached() > first

        await asking.until(next_has_started)
        await self.slow_down(SLOW, stall=True)
        way.refusing = False

        async def withdrawn():
            return self.count(WITHDRAWN) > before

        await asking.until(withdrawn)
        await self.slow_down(1)
        await self.audit(asked)

    async def reached(self):
        """How many attempts reached the first engine."""
        return len((await self.cluster.audit(asking.ENGINE))['runs'])

    @fixture.on_cluster
    async def test_while_sidecars_restart(self):
        """What a killed sidecar had sent is called "not run" by the next.

        All sidecars are killed under load and started anew on their ports.
        """
        asked = self.ask_all('restart')
        await self.until_some_ran(asked)
        await self.restart(*self.cluster.sidecars)
        await self.audit(asked)

    async def restart(self, *upstreams):
        """Kills sidecars and starts them anew on their ports."""
        for name in upstreams:
            self.cluster.sidecars[name].kill()
            await self.cluster.sidecars[name].wait()
        await self.cluster.restart_ended()


if __name__ == '__main__':
    unittest.main()
