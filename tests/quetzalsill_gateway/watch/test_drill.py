"""Tests of a store that is down briefly and is restored from an older copy.

What was written since the copy is lost, its versions are reused for other
changes, and whoever had written something writes it again. The bounds are those
of an outage of the same length: no upstream is removed because of the drill, no
drain order is lost, and within `RECOVERY_S` of its return all gateways know the
state of the store.
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

    def test_a_reused_version_hides_no_notice(self):
        """Guards against work that goes to a server after its drain notice.

        The restored store takes the notice, and its versions pass those that
        the gateways know. A feed read on from there has no notice in it, and no
        call fails.
        """

        async def scenario():
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
                drill.RECOVERY_S, lambda one: 'server-2' not in one.ids()
            )

        self.simulate(scenario)

    def test_a_server_that_came_back_under_a_lower_version_serves(self):
        """Guards against a restarted server that gets no work.

        Its new entry has a lower version than the known notice, and by the time
        a gateway polls, the versions of others have passed that.
        """

        async def scenario():
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
            await self.within(drill.RECOVERY_S, lambda one: one.ids() == LIVE)

        self.simulate(scenario)

    def test_no_server_is_removed_because_a_copy_is_older(self):
        """Guards against the removal of servers that the copy lacks.

        Half of the servers have started since the copy was taken and enter
        themselves again within two seconds. If they were removed until then,
        the other half would get all the work.
        """

        async def scenario():
            copy = self.fleet.store.snapshot()
            new = {f'new-{n}' for n in range(20)}
            for name in new:
                self.fleet.add_server(name)
            await self.within(1.0, lambda one: one.ids() == LIVE | new)
            async with self.always(lambda one: one.ids() == LIVE | new):
                await self.fleet.drill(copy)
                await asyncio.sleep(6.0)

        self.simulate(scenario)

    def test_who_does_not_come_back_is_gone_after_the_grace(self):
        """A server has started since the copy, and dies during the drill."""

        async def scenario():
            copy = self.fleet.store.snapshot()
            self.fleet.add_server('new')
            await self.within(1.0, lambda one: 'new' in one.ids())
            await self.fleet.drill(copy, rewrite_s=0.0)
            await self.within(
                drill.RECOVERY_S + 2.5, lambda one: one.ids() == LIVE
            )

        self.simulate(scenario)

    def test_a_server_that_has_ended_gets_nothing_for_a_copy(self):
        """Guards against work for a server that ended a second after the copy.

        The copy still has its entry, so requests would go to an address where
        nothing answers until the entry is removed again. A running server
        enters itself again.
        """

        async def scenario():
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

        self.simulate(scenario)

    def test_two_drills_within_three_seconds(self):
        """The second comes while the servers still enter themselves again."""

        async def scenario():
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

        self.simulate(scenario)

    def test_a_third_is_cut_off_from_the_store(self):
        """The gateways that the store serves send updates to the rest."""

        async def scenario():
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
                    drill.RECOVERY_S, lambda one: 'server-2' not in one.ids()
                )
                self.fleet.add_server('late')
                await self.within(2.0, lambda one: 'late' in one.ids())

        self.simulate(scenario)

    def test_a_partitioned_gateway_does_not_spread_its_old_state(self):
        """One gateway learns of the drill last, long after the others.

        It holds lost entries; if the others took them for newer, they would
        apply them.
        """

        async def scenario():
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
                drill.RECOVERY_S, lambda one: one.ids() == LIVE, others
            )
            self.fleet.network.is_partitioned = lambda _, __: False
            self.fleet.store.mode_for = lambda _: StoreMode.SERVES
            await self.within(drill.RECOVERY_S, lambda one: one.ids() == LIVE)
            await asyncio.sleep(5.0)
            self.assertTrue(all(one.ids() == LIVE for one in self.fleet.all))

        self.simulate(scenario)

    def test_a_drill_during_a_rolling_restart(self):
        """Gateways of the previous release know versions only.

        They are replaced one by one during the drill. The gateways that have
        been replaced must not take their updates for newer.
        """

        async def scenario():
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
                drill.RECOVERY_S,
                lambda one: (
                    one.ids() == LIVE - {'server-2'} and one.config_version == 2
                ),
            )

        self.simulate(scenario)


class LoadTest(drill.DrillTest):
    """Calls to the store by the whole fleet."""

    def test_each_gateway_polls_a_few_times(self):
        """Guards against a burst of calls when 68 gateways see the drill.

        If each listed both tables at once, the store would get 136 list calls
        and refuse some, which are retried. Instead one gateway lists each
        table, and the others check once within a second. In any tenth of a
        second there are fewer calls than gateways; a drill costs each at most
        three calls more than an outage of the same length.
        """
        costs = {}
        for epochs in (0, 1):

            async def scenario(epochs=epochs):
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

            self.simulate(scenario, 68)
        self.assertLess(costs[1] - costs[0], 3 * 68)

    def test_more_servers_than_a_datagram_holds(self):
        """The snapshot fits no datagram, so each gateway lists the table once.

        At most five calls each: a refused feed, a list of each table, and an
        answer that was older than an update from a peer.
        """

        async def scenario():
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

        self.simulate(scenario, 68, 200)


if __name__ == '__main__':
    unittest.main()
