"""The store is away for a moment, and comes back from an older copy.

What was written there since is gone, its versions are given out again for other
changes, and whoever had written something writes it again. Bounds are those of
an outage as long: nobody is taken out for the drill, no order is lost, and all
know within `KNOWN_S` of the return what the store says then.
"""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev.simulation.store import StoreMode
from tests.quetzalsill_gateway.watch import drill

ZONE = 'z'
LIVE = {f'server-{n}' for n in range(20)}


class MembershipTest(drill.DrillTest):
    """Entries of servers."""

    def test_a_version_given_out_again_hides_no_notice(self):
        """A server says that it leaves, and work goes to it all the same.

        The store comes back, takes the notice, and gives out versions past
        those that the gateways know. Read on from there, its feed has no notice
        in it, and there is no failure to see.
        """

        async def story():
            copy = self.fleet.store.snapshot()
            known = self.fleet.store.version + 50
            self.fill(known)
            await asyncio.sleep(1.0)
            self.fleet.store.mode_for = lambda _: StoreMode.REFUSES
            await self.fleet.drill(copy, rewrite_s=0.0)
            self.fleet.drain_server('server-2')
            self.fill(known + 50)
            self.fleet.store.mode_for = lambda _: StoreMode.SERVES
            await self.within(
                drill.KNOWN_S, lambda one: 'server-2' not in one.ids()
            )

        self.play(story)

    def test_a_server_that_came_back_under_a_lower_version_serves(self):
        """A server leaves; after the drill it starts again, and gets nothing.

        Its new entry has a lower version than the notice that is known, and
        the versions of others have passed that by the time anyone asks.
        """

        async def story():
            copy = self.fleet.store.snapshot()
            self.fill(self.fleet.store.version + 50)
            self.fleet.remove_server('server-3')
            await self.within(1.0, lambda one: 'server-3' not in one.ids())
            known = self.fleet.store.version
            self.fleet.store.mode_for = lambda _: StoreMode.REFUSES
            await self.fleet.drill(copy, rewrite_s=0.0)
            self.fleet.add_server('server-3', incarnation=2)
            self.fill(known + 50)
            self.fleet.store.mode_for = lambda _: StoreMode.SERVES
            await self.within(drill.KNOWN_S, lambda one: one.ids() == LIVE)

        self.play(story)

    def test_nobody_is_taken_out_because_a_copy_is_older(self):
        """Half of the servers have come since the copy was taken.

        They enter themselves again within two seconds. Taken for gone until
        then, they would leave the other half with all the work.
        """

        async def story():
            copy = self.fleet.store.snapshot()
            new = {f'new-{n}' for n in range(20)}
            for name in new:
                self.fleet.add_server(name)
            await self.within(1.0, lambda one: one.ids() == LIVE | new)
            async with self.always(lambda one: one.ids() == LIVE | new):
                await self.fleet.drill(copy)
                await asyncio.sleep(6.0)

        self.play(story)

    def test_who_does_not_come_back_is_gone_after_the_grace(self):
        """A server has come since the copy, and dies in the drill."""

        async def story():
            copy = self.fleet.store.snapshot()
            self.fleet.add_server('new')
            await self.within(1.0, lambda one: 'new' in one.ids())
            await self.fleet.drill(copy, rewrite_s=0.0)
            await self.within(
                drill.KNOWN_S + 2.5, lambda one: one.ids() == LIVE
            )

        self.play(story)

    def test_a_server_that_has_ended_gets_nothing_for_a_copy(self):
        """A server ends a second after the copy; the copy still has its entry.

        Requests would go to an address where nobody answers, until whoever
        removed the entry does so again. One that lives enters itself again.
        """

        async def story():
            copy = self.fleet.store.snapshot()
            lives = self.fleet.entries['server-4']
            for name in ('server-3', 'server-4'):
                self.fleet.remove_server(name)
            alive = LIVE - {'server-3'}
            await self.within(
                1.0, lambda one: one.ids() == alive - {'server-4'}
            )
            async with self.always(lambda one: one.ids() <= alive):
                await self.fleet.drill(copy, rewrite_s=0.0)
                self.fleet.store.put_entry(lives)
                await asyncio.sleep(1.0)
                self.fleet.store.remove_entry('server-3')
                await self.within(3.0, lambda one: one.ids() == alive)
                await asyncio.sleep(3.0)

        self.play(story)

    def test_two_drills_within_three_seconds(self):
        """The second comes while the servers still enter themselves again."""

        async def story():
            first = self.fleet.store.snapshot()
            for name in ('new-1', 'new-2'):
                self.fleet.add_server(name)
            await asyncio.sleep(1.0)
            alive = LIVE | {'new-1', 'new-2'}
            async with self.always(lambda one: one.ids() == alive):
                await self.fleet.drill(first)
                await asyncio.sleep(1.0)
                second = self.fleet.store.snapshot()
                await asyncio.sleep(0.5)
                await self.fleet.drill(second)
                await asyncio.sleep(6.0)
            self.fleet.drain_server('server-5')
            await self.within(1.0, lambda one: 'server-5' not in one.ids())
            epochs = {one.epochs.newest for one in self.fleet.all}
            self.assertEqual(epochs, {2})

        self.play(story)

    def test_a_third_is_cut_off_from_the_store(self):
        """Those that are served tell the rest, of which nobody asks itself."""

        async def story():
            self.fleet.store.mode_for = lambda node: (
                StoreMode.SILENT if int(node[6:]) % 3 == 0 else StoreMode.SERVES
            )
            await asyncio.sleep(3.0)
            copy = self.fleet.store.snapshot()
            known = self.fleet.store.version + 50
            self.fill(known)
            async with self.always(
                lambda one: LIVE - {'server-2'} <= one.ids()
            ):
                await self.fleet.drill(copy, rewrite_s=0.0)
                self.fleet.drain_server('server-2')
                self.fill(known + 50)
                await self.within(
                    drill.KNOWN_S, lambda one: 'server-2' not in one.ids()
                )
                self.fleet.add_server('late')
                await self.within(2.0, lambda one: 'late' in one.ids())

        self.play(story)

    def test_who_was_cut_off_from_all_does_not_carry_the_old_order_on(self):
        """One gateway hears of the drill last, when others are far on.

        It holds what was lost; told to the others as newer, it would count.
        """

        async def story():
            copy = self.fleet.store.snapshot()
            self.fill(self.fleet.store.version + 200)
            self.fleet.remove_server('server-3')
            await self.within(1.0, lambda one: 'server-3' not in one.ids())
            treat = lambda node: (  # noqa: E731
                StoreMode.SILENT if node == 'entry-3' else StoreMode.SERVES
            )
            self.fleet.store.mode_for = treat
            self.fleet.network.is_partitioned = lambda one, other: (
                'entry-3' in (one, other)
            )
            await self.fleet.drill(copy, rewrite_s=0.0)
            self.fleet.add_server('server-3', incarnation=2)
            others = [one for one in self.fleet.all if one.node != 'entry-3']
            await self.within(
                drill.KNOWN_S, lambda one: one.ids() == LIVE, others
            )
            self.fleet.network.is_partitioned = lambda _, __: False
            self.fleet.store.mode_for = lambda _: StoreMode.SERVES
            await self.within(drill.KNOWN_S, lambda one: one.ids() == LIVE)
            await asyncio.sleep(5.0)
            self.assertTrue(all(one.ids() == LIVE for one in self.fleet.all))

        self.play(story)

    def test_a_drill_during_a_rolling_restart(self):
        """Gateways of the release before know versions only.

        They are replaced one by one while the store comes back. What they tell
        must not be taken for newer by those that have been replaced.
        """

        async def story():
            for name in list(self.fleet.gateways):
                self.fleet.kill(name)
                self.fleet.add_gateway(name, is_legacy=True)
            await asyncio.sleep(3.0)
            copy = self.fleet.store.snapshot()
            known = self.fleet.store.version + 100
            self.fill(known)
            for number, name in enumerate(list(self.fleet.gateways)):
                self.fleet.kill(name)
                self.fleet.add_gateway(name)
                await asyncio.sleep(0.3)
                if number == 8:
                    await self.fleet.drill(copy, rewrite_s=0.0)
                    self.fleet.drain_server('server-2')
                    self.fleet.configure(2)
                    self.fill(known + 50)
            await self.within(
                drill.KNOWN_S,
                lambda one: (
                    one.ids() == LIVE - {'server-2'} and one.config_version == 2
                ),
            )

        self.play(story)


class LoadTest(drill.DrillTest):
    """Calls at the store, of all gateways together."""

    def test_each_gateway_asks_a_few_times(self):
        """68 gateways see the drill at the same moment.

        Each lists both tables at once, the store would have 136 lists to answer
        and refuse some, which ask again. Here one lists each, and the others
        ask once whether it is so, drawn from a second. In any tenth of it there
        are fewer calls than gateways; a drill costs each three beyond what an
        outage as long does.
        """
        costs = {}
        for epochs in (0, 1):

            async def story(epochs=epochs):
                store = self.fleet.store
                copy = store.snapshot()
                before = sum(store.calls.values())
                most = 0
                async with self.always(lambda one: one.ids() == LIVE):
                    await self.fleet.drill(copy, epochs=epochs)
                    for _ in range(100):
                        started = sum(store.calls.values())
                        await asyncio.sleep(0.1)
                        most = max(most, sum(store.calls.values()) - started)
                self.assertLess(most, 68)
                costs[epochs] = sum(store.calls.values()) - before

            self.play(story, 68)
        self.assertLess(costs[1] - costs[0], 3 * 68)

    def test_more_servers_than_a_datagram_holds(self):
        """Nobody can be told the whole list; each lists the table once.

        A feed that is refused, a list of each table, and an answer that another
        gateway's was newer than: five calls each at the most.
        """

        async def story():
            store = self.fleet.store
            alive = {f'server-{n}' for n in range(200)}
            before = sum(store.calls.values())
            async with self.always(lambda one: one.ids() == alive):
                await self.fleet.drill(store.snapshot())
                await asyncio.sleep(8.0)
            self.fleet.drain_server('server-1')
            await self.within(1.0, lambda one: 'server-1' not in one.ids())
            calls = sum(store.calls.values()) - before
            self.assertLess(calls, 5 * 68 + 8 * 10)

        self.play(story, 68, 200)


if __name__ == '__main__':
    unittest.main()
