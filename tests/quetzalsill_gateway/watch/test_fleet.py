"""A fleet that follows one store together, on virtual time.

Pattern: one watch in each gateway, and entries that change all the time, so
that each watch returns at once: calls to the store grow with the fleet. At 68
gateways they were its largest price. Bounds are those of the platforms served
so far: two seconds for a change of the configuration and for a notice.
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
    """Calls, and what every gateway knows when."""

    def setUp(self):
        quiet = mock.patch.object(event, 'note')
        self.note = quiet.start()
        self.addCleanup(quiet.stop)

    def play(self, story, gateways=24, servers=20, bound_s=BOUND_S):
        """Plays a story on a fleet of its own."""

        async def work():
            self.fleet = watchers.Fleet(gateways, servers, SEED, bound_s)
            await self.fleet.start()
            try:
                await story()
            finally:
                self.fleet.stop()

        clock.run(work)

    async def within(self, bound_s, condition):
        """Waits until all gateways agree; fails if that takes longer."""
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
        """Returns the calls a second of the whole fleet, at rest."""
        before = sum(self.fleet.store.calls.values())
        await asyncio.sleep(seconds)
        return (sum(self.fleet.store.calls.values()) - before) / seconds

    def test_calls_grow_little_with_the_fleet(self):
        """Calls of each gateway's own: 1.3 a second for each of 68."""
        for gateways, most in ((5, 8.0), (26, 8.0), (68, 9.0)):
            with self.subTest(gateways):

                async def story(most=most):
                    self.assertLess(await self.calls_in(20.0), most)

                self.play(story, gateways)

    def test_edits_and_notices_are_known_soon(self):
        async def story():
            for number in range(2, 8):
                await self.edit_is_known(number, 0.8)
                await self.notice_is_known(f'server-{number}', 0.6)

        self.play(story, 68)

    def test_an_edit_costs_the_store_one_call(self):
        """Read by each gateway, an edit is a call and a document for each."""

        async def story():
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

        self.play(story, 68)

    def test_a_store_that_turns_some_away_is_known_through_the_others(self):
        """A third of the gateways get refusals, for as long as it lasts.

        They would send to servers that have left, and refuse keys that are
        valid since.
        """

        def treat(node):
            turned = int(node.removeprefix('entry-')) % 3 == 0
            return StoreMode.REFUSES if turned else StoreMode.SERVES

        async def story():
            self.fleet.store.mode_for = treat
            await asyncio.sleep(3.0)
            await self.edit_is_known(2)
            await self.notice_is_known('server-1')
            calls = await self.calls_in(10.0)
            self.assertLess(calls, 8.0 + 2 * 8)

        self.play(story)

    def test_who_is_turned_away_notices_that_it_is_served_again(self):
        async def story():
            self.fleet.store.mode_for = lambda node: (
                StoreMode.REFUSES if node == 'entry-3' else StoreMode.SERVES
            )
            one = self.fleet.gateways['entry-3']
            self.fleet.store.mode_for('entry-3')
            # Nobody else asks meanwhile, so that it is its turn.
            self.fleet.network.is_partitioned = lambda _, other: (
                other == 'entry-3'
            )
            await asyncio.sleep(3.0)
            self.assertTrue(one.health.is_down)
            self.fleet.network.is_partitioned = lambda _, __: False
            self.fleet.store.mode_for = lambda _: StoreMode.SERVES
            await asyncio.sleep(3.0)
            self.assertFalse(one.health.is_down)

        self.play(story)

    def test_a_store_that_is_away_for_all_is_found_again_by_all(self):
        """While it is away an edit and a notice come; then it is back."""
        for away in (
            StoreMode.REFUSES,
            StoreMode.SILENT,
            StoreMode.LOSES_RESPONSES,
        ):
            with self.subTest(away):

                async def story(away=away):
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

                self.play(story)

    def test_bounds_hold_with_a_slow_store(self):
        async def story():
            self.fleet.store.response_time_s = 0.24
            for number in (2, 3, 4):
                await self.edit_is_known(number)
                await self.notice_is_known(f'server-{number}')

        self.play(story)

    def test_bounds_hold_where_a_third_of_all_datagrams_is_lost(self):
        async def story():
            self.fleet.network.loss = 0.33
            for number in (2, 3, 4, 5):
                await self.edit_is_known(number)
                await self.notice_is_known(f'server-{number}')

        self.play(story)

    def test_a_gateway_that_hears_nobody_asks_itself(self):
        """Links between gateways are cut, the store serves."""

        async def story():
            self.fleet.network.is_partitioned = lambda _, __: True
            await asyncio.sleep(3.0)
            for number in (2, 3):
                await self.edit_is_known(number)
                await self.notice_is_known(f'server-{number}')

        self.play(story)

    def test_the_one_that_watches_loses_its_connection(self):
        """Its calls fall silent; it does not know, and nobody else watches."""

        async def story():
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

        self.play(story)

    def test_whoever_tells_is_killed_before_it_has_told_all(self):
        """Half of the fleet has heard of an edit, and its teller is dead."""

        async def story():
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

        self.play(story)

    def test_what_was_missed_is_asked_for(self):
        """A gateway hears nobody and gets no answer while a notice is told.

        Later news reach it again. Taken for all that it lacks, they would
        hide the notice for good: the store is asked only for what is newer.
        """

        async def story():
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

        self.play(story)

    def test_each_finds_the_store_again_where_nobody_tells(self):
        """The store is back after an outage, and no gateway hears another."""

        async def story():
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

        self.play(story)

    def test_forgotten_history_is_met_by_reading_anew(self):
        async def story():
            self.fleet.store.compact()
            await self.notice_is_known('server-3')
            self.fleet.store.compact()
            self.fleet.remove_server('server-4')
            await self.within(BOUND_S, lambda one: 'server-4' not in one.ids())

        self.play(story)

    def test_a_version_that_is_none_of_the_stores_does_no_harm_for_long(self):
        """A faulty datagram tells a version far above the store's.

        Taken for good, no later news would be newer, and a watch behind that
        version would never tell anything.
        """

        async def story():
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

        self.play(story)

    def test_an_edit_never_steps_back(self):
        """Edits in quick succession, datagrams overtaken and lost."""

        async def story():
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

        self.play(story)

    def test_entries_that_lapsed_in_an_outage_are_kept_by_all(self):
        """The store is away, lets an entry lapse, and it comes back."""

        async def story():
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

        self.play(story)

    def test_a_gateway_that_restarts_in_an_outage_serves(self):
        """The store is away, and a gateway is killed and starts again.

        It would refuse every caller until the store is back, with others
        beside it that know all it needs.
        """

        async def story():
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

        self.play(story)

    def test_the_same_seed_gives_the_same_run(self):
        totals = []
        for _ in range(2):

            async def story():
                await asyncio.sleep(5.0)
                totals.append(
                    (self.fleet.store.calls, self.fleet.network.sent_bytes)
                )

            self.play(story)
        self.assertEqual(*totals)


if __name__ == '__main__':
    unittest.main()
