"""Tests of a fleet that follows one store together, on virtual time.

If every gateway polled by itself while entries change all the time, each long
poll would return at once, and calls to the store would grow with the fleet: at
68 gateways they were its largest cost. The bounds are those of the platforms
served so far: two seconds for a change of the configuration and for a notice.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill_dev.simulation import clock, watchers
from quetzalsill_dev.simulation.store import StoreMode
from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import revision
from quetzalsill_gateway.watch import update

BOUND_S = 2.0
STEP_S = 0.005
SEED = 4


class FleetTest(unittest.TestCase):
    """Calls to the store, and the time at which each gateway knows a change."""

    def setUp(self):
        patcher = mock.patch.object(event, 'note')
        self.note = patcher.start()
        self.addCleanup(patcher.stop)

    def simulate(self, scenario, gateways=24, servers=20, bound_s=BOUND_S):
        """Runs a scenario on a new fleet."""

        async def work():
            self.fleet = watchers.Fleet(gateways, servers, SEED, bound_s)
            await self.fleet.start()
            try:
                await scenario()
            finally:
                self.fleet.stop()

        clock.run(work)

    async def within(self, bound_s, condition):
        """Waits until the condition holds on all; fails after `bound_s`."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + bound_s
        while not all(condition(one) for one in self.fleet.all):
            self.assertLess(loop.time(), end_s, 'known too late')
            await asyncio.sleep(STEP_S)

    async def edit_is_known(self, number, bound_s=BOUND_S):
        self.fleet.configure(number)
        await self.within(bound_s, lambda one: one.config_version == number)

    async def notice_is_known(self, name, bound_s=BOUND_S):
        self.fleet.drain_server(name)
        await self.within(bound_s, lambda one: name not in one.ids())

    async def calls_in(self, seconds):
        """Returns the calls per second of the whole fleet, at rest."""
        before = sum(self.fleet.store.calls.values())
        await asyncio.sleep(seconds)
        return (sum(self.fleet.store.calls.values()) - before) / seconds

    def test_calls_grow_little_with_the_fleet(self):
        """Separate polls took 1.3 calls a second for each of 68 gateways."""
        for gateways, most in ((5, 8.0), (26, 8.0), (68, 9.0)):
            with self.subTest(gateways):

                async def scenario(most=most):
                    self.assertLess(await self.calls_in(20.0), most)

                self.simulate(scenario, gateways)

    def test_edits_and_notices_are_known_soon(self):
        async def scenario():
            for number in range(2, 8):
                await self.edit_is_known(number, 0.8)
                await self.notice_is_known(f'server-{number}', 0.6)

        self.simulate(scenario, 68)

    def test_an_edit_costs_the_store_one_call(self):
        """Guards against an edit that each gateway reads from the store.

        That would be one call and one document per gateway.
        """

        async def scenario():
            rest = await self.calls_in(10.0)
            before = sum(self.fleet.store.calls.values())
            for number in range(2, 12):
                self.fleet.configure(number)
                await asyncio.sleep(1.0)
            calls = sum(self.fleet.store.calls.values()) - before
            self.assertLess(calls - 10.0 * rest, 2 * 10)
            self.assertTrue(
                all(one.config_version == 11 for one in self.fleet.all)
            )

        self.simulate(scenario, 68)

    def test_gateways_that_the_store_refuses_get_updates_from_peers(self):
        """The store refuses a third of the gateways throughout.

        They must not send to servers that have left, nor refuse keys that have
        become valid meanwhile.
        """

        def treat(node):
            turned = int(node.removeprefix('entry-')) % 3 == 0
            return StoreMode.REFUSES if turned else StoreMode.SERVES

        async def scenario():
            self.fleet.store.mode_for = treat
            await asyncio.sleep(3.0)
            await self.edit_is_known(2)
            await self.notice_is_known('server-1')
            calls = await self.calls_in(10.0)
            self.assertLess(calls, 8.0 + 2 * 8)

        self.simulate(scenario)

    def test_a_refused_gateway_notices_that_it_is_served_again(self):
        async def scenario():
            self.fleet.store.mode_for = lambda node: (
                StoreMode.REFUSES if node == 'entry-3' else StoreMode.SERVES
            )
            one = self.fleet.gateways['entry-3']
            self.fleet.store.mode_for('entry-3')
            # It gets no updates meanwhile, so that it polls by itself.
            self.fleet.network.is_partitioned = lambda _, other: (
                other == 'entry-3'
            )
            await asyncio.sleep(3.0)
            self.assertTrue(one.health.is_down)
            self.fleet.network.is_partitioned = lambda _, __: False
            self.fleet.store.mode_for = lambda _: StoreMode.SERVES
            await asyncio.sleep(3.0)
            self.assertFalse(one.health.is_down)

        self.simulate(scenario)

    def test_a_store_that_is_away_for_all_is_found_again_by_all(self):
        """An edit and a notice are written during an outage of the store."""
        for away in (
            StoreMode.REFUSES,
            StoreMode.SILENT,
            StoreMode.LOSES_RESPONSES,
        ):
            with self.subTest(away):

                async def scenario(away=away):
                    self.fleet.store.mode_for = lambda _: away
                    await asyncio.sleep(5.0)
                    self.fleet.configure(2)
                    self.fleet.drain_server('server-1')
                    calls = await self.calls_in(5.0)
                    self.assertLess(calls, 24 * 2 / 1.2)
                    self.fleet.store.mode_for = lambda _: StoreMode.SERVES
                    await self.within(
                        2.9,
                        lambda one: (
                            one.config_version == 2
                            and 'server-1' not in one.ids()
                        ),
                    )

                self.simulate(scenario)

    def test_bounds_hold_with_a_slow_store(self):
        async def scenario():
            self.fleet.store.response_time_s = 0.24
            for number in (2, 3, 4):
                await self.edit_is_known(number)
                await self.notice_is_known(f'server-{number}')

        self.simulate(scenario)

    def test_bounds_hold_where_a_third_of_all_datagrams_is_lost(self):
        async def scenario():
            self.fleet.network.loss = 0.33
            for number in (2, 3, 4, 5):
                await self.edit_is_known(number)
                await self.notice_is_known(f'server-{number}')

        self.simulate(scenario)

    def test_a_gateway_without_updates_polls_by_itself(self):
        """The links between gateways are down, while the store serves."""

        async def scenario():
            self.fleet.network.is_partitioned = lambda _, __: True
            await asyncio.sleep(3.0)
            for number in (2, 3):
                await self.edit_is_known(number)
                await self.notice_is_known(f'server-{number}')

        self.simulate(scenario)

    def test_the_polling_gateway_loses_its_connection(self):
        """Calls of the polling gateway hang unnoticed; no other one polls."""

        async def scenario():
            for number in (2, 3, 4):
                before = dict(self.fleet.store.calls)
                await asyncio.sleep(2.0)
                calls = self.fleet.store.calls
                watcher = max(
                    calls, key=lambda node: calls[node] - before.get(node, 0)
                )
                self.fleet.store.mode_for = lambda node, cut=watcher: (
                    StoreMode.SILENT if node == cut else StoreMode.SERVES
                )
                await asyncio.sleep(0.3 * number)
                await self.edit_is_known(number)
                await self.notice_is_known(f'server-{number}')

        self.simulate(scenario)

    def test_the_announcing_gateway_is_killed_half_way(self):
        """A gateway dies after announcing an edit to half of its peers."""

        async def scenario():
            cut_off = {f'entry-{n}' for n in range(0, 24, 2)}
            for number in range(2, 8):
                tellers = []

                def cut(node, other, tellers=tellers):
                    tellers.append(node)
                    return node == tellers[0] and other in cut_off

                self.fleet.network.is_partitioned = cut
                self.fleet.configure(number)
                self.fleet.drain_server(f'server-{number}')
                while not tellers:  # noqa: ASYNC110
                    await asyncio.sleep(0.001)
                await asyncio.sleep(0.01)
                self.fleet.kill(tellers[0])
                await self.within(
                    BOUND_S,
                    lambda one, number=number: (
                        one.config_version == number
                        and f'server-{number}' not in one.ids()
                    ),
                )

        self.simulate(scenario)

    def test_missed_changes_are_polled_for(self):
        """A gateway misses a notice, as the store and its peers are cut off.

        Then it receives later updates. If it took them for complete, they would
        hide the notice for good, since the store is only polled for newer
        changes.
        """

        async def scenario():
            self.fleet.store.mode_for = lambda node: (
                StoreMode.REFUSES if node == 'entry-3' else StoreMode.SERVES
            )
            self.fleet.network.is_partitioned = lambda _, other: (
                other == 'entry-3'
            )
            await asyncio.sleep(1.0)
            self.fleet.drain_server('server-1')
            await asyncio.sleep(3.0)
            self.fleet.network.is_partitioned = lambda _, __: False
            self.fleet.drain_server('server-2')
            await asyncio.sleep(0.5)
            self.fleet.store.mode_for = lambda _: StoreMode.SERVES
            await self.within(
                2.9, lambda one: not {'server-1', 'server-2'} & one.ids()
            )

        self.simulate(scenario)

    def test_each_reaches_the_store_again_without_updates(self):
        """The store returns while the links between gateways are down."""

        async def scenario():
            self.fleet.network.is_partitioned = lambda _, __: True
            self.fleet.store.mode_for = lambda _: StoreMode.REFUSES
            await asyncio.sleep(12.0)
            self.fleet.configure(2)
            self.fleet.drain_server('server-1')
            self.fleet.store.mode_for = lambda _: StoreMode.SERVES
            await self.within(
                2.9,
                lambda one: (
                    one.config_version == 2 and 'server-1' not in one.ids()
                ),
            )

        self.simulate(scenario)

    def test_a_lost_history_is_followed_by_a_new_list(self):
        async def scenario():
            self.fleet.store.compact()
            await self.notice_is_known('server-3')
            self.fleet.store.compact()
            self.fleet.remove_server('server-4')
            await self.within(BOUND_S, lambda one: 'server-4' not in one.ids())

        self.simulate(scenario)

    def test_a_version_that_never_existed_does_no_harm_for_long(self):
        """A faulty datagram has a version far above that of the store.

        If it were kept, no later update would be newer, and a poll from that
        version would never return a change.
        """

        async def scenario():
            for one in self.fleet.all:
                far = revision.Revision(0, 2**52)
                one.membership.handle_update(
                    update.MembershipUpdate(update.BEGINNING, far)
                )
                one.configuration.handle_update(
                    update.ConfigurationUpdate(far, 1)
                )
            await asyncio.sleep(1.5 * BOUND_S)
            await self.edit_is_known(2)
            await self.notice_is_known('server-1')

        self.simulate(scenario)

    def test_no_edit_is_reverted(self):
        """Edits in quick succession, with datagrams lost and reordered."""

        async def scenario():
            self.fleet.network.loss = 0.2
            self.fleet.network.delay_s = (0.0005, 0.5)
            seen = dict.fromkeys(self.fleet.gateways, 0)
            for number in range(2, 30):
                self.fleet.configure(number)
                for _ in range(20):
                    await asyncio.sleep(0.01)
                    for one in self.fleet.all:
                        self.assertGreaterEqual(
                            one.config_version, seen[one.node]
                        )
                        seen[one.node] = one.config_version
            await self.within(BOUND_S, lambda one: one.config_version == 29)

        self.simulate(scenario)

    def test_entries_that_lapsed_in_an_outage_are_kept_by_all(self):
        """An entry expires during an outage and is written again later."""

        async def scenario():
            self.fleet.store.mode_for = lambda _: StoreMode.REFUSES
            await asyncio.sleep(5.0)
            self.fleet.remove_server('server-5')
            self.fleet.store.mode_for = lambda _: StoreMode.SERVES
            for _ in range(100):
                await asyncio.sleep(0.01)
                for one in self.fleet.all:
                    self.assertIn('server-5', one.ids())
            self.fleet.add_server('server-5')
            await asyncio.sleep(5.0)
            self.assertTrue(
                all('server-5' in one.ids() for one in self.fleet.all)
            )

        self.simulate(scenario)

    def test_a_gateway_that_restarts_in_an_outage_serves(self):
        """A gateway is killed and restarted while the store is down.

        Without the state of its peers it would refuse all callers until the
        store returns.
        """

        async def scenario():
            await self.edit_is_known(2)
            self.fleet.store.mode_for = lambda _: StoreMode.REFUSES
            await asyncio.sleep(3.0)
            self.fleet.kill('entry-7')
            known = self.fleet.all[0].ids()
            again = self.fleet.add_gateway('entry-7')
            await asyncio.sleep(1.0)
            self.assertEqual(again.config_version, 2)
            self.assertEqual(again.ids(), known)
            self.fleet.configure(3)
            self.fleet.drain_server('server-2')
            self.fleet.store.mode_for = lambda _: StoreMode.SERVES
            await self.within(
                2.9,
                lambda one: (
                    one.config_version == 3 and 'server-2' not in one.ids()
                ),
            )

        self.simulate(scenario)

    def test_the_same_seed_gives_the_same_run(self):
        totals = []
        for _ in range(2):

            async def scenario():
                await asyncio.sleep(5.0)
                totals.append(
                    (self.fleet.store.calls, self.fleet.network.sent_bytes)
                )

            self.simulate(scenario)
        self.assertEqual(*totals)


if __name__ == '__main__':
    unittest.main()
