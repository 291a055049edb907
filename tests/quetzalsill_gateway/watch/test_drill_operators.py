"""Tests of what operators write while the store is restored from a copy."""

from __future__ import annotations

import asyncio
import json
import unittest

from quetzalsill_dev.simulation.store import StoreMode
from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import revision
from quetzalsill_gateway.watch import update
from tests.quetzalsill_gateway.watch import drill

ZONE = 'z'
LIVE = {f'server-{n}' for n in range(20)}


class ConfigurationTest(drill.DrillTest):
    """Versions of the configuration."""

    def test_a_key_that_was_withdrawn_stays_withdrawn(self):
        """Guards against a withdrawn key that becomes valid again.

        The copy was taken just before or just after the edit. In the first case
        it holds the older configuration until operators write theirs again.
        """
        for is_in_copy in (False, True):
            with self.subTest(is_in_copy):

                async def scenario(is_in_copy=is_in_copy):
                    copy = self.fleet.store.snapshot()
                    self.fleet.configure(5)
                    if is_in_copy:
                        copy = self.fleet.store.snapshot()
                    await self.within(1.0, lambda one: one.config_version == 5)
                    async with self.always(lambda one: one.config_version == 5):
                        await self.fleet.drill(copy)
                        await asyncio.sleep(6.0)

                self.simulate(scenario)

    def test_a_reused_version_hides_no_configuration(self):
        """Guards against a key that stays valid although it was withdrawn.

        The key is withdrawn right after the drill. The new configuration has a
        reused version, and by the time the gateways poll, versions are past
        those that they know.
        """

        async def scenario():
            copy = self.fleet.store.snapshot()
            known = self.fleet.store.version + 50
            self.fill(known)
            await asyncio.sleep(1.0)
            # No call fails, so the drill shows in nothing else.
            await self.fleet.drill(copy, away_s=0.0, rewrite_s=0.0)
            self.fleet.configure(2)
            self.fill(known + 50)
            await self.within(
                drill.RECOVERY_S, lambda one: one.config_version == 2
            )

        self.simulate(scenario)

    def test_who_starts_after_the_drill_gets_the_newest(self):
        """Guards against a new gateway that stays on an older configuration.

        The copy has an older configuration, and operators have not written
        theirs again. The new gateway reads the old one, while its peers
        announce the newer one, which the store does not have. If it polled the
        store for that, the store would be called all the time, and the
        withdrawn key would be valid there.
        """

        async def scenario():
            copy = self.fleet.store.snapshot()
            self.fleet.configure(5)
            await self.within(1.0, lambda one: one.config_version == 5)
            await self.fleet.drill(copy, rewrite_s=0.0)
            await asyncio.sleep(3.0)
            fresh = self.fleet.add_gateway('entry-99')
            await self.within(3.0, lambda one: one.config_version == 5, [fresh])
            before = sum(self.fleet.store.calls.values())
            await asyncio.sleep(10.0)
            calls = sum(self.fleet.store.calls.values()) - before
            self.assertLess(calls, 10 * 30)
            self.fleet.configure(6)
            await self.within(2.0, lambda one: one.config_version == 6)

        self.simulate(scenario)

    def test_an_unusable_configuration_is_requested_rarely(self):
        """Guards against an endless exchange of requests between gateways.

        A gateway cannot apply the configuration that its peers announce: the
        store lacks it, and it cannot parse a document of a later release. It
        requests it from two peers, and each answer would cause two more
        requests: within a second the gateways would do nothing else.
        """

        async def scenario():
            requests = []
            one = self.fleet.all[0]
            one.configuration.on_missing(lambda: requests.append(one.node))
            received = update.ConfigurationUpdate(
                revision.Revision(0, 1), 9, b'patch'
            )
            one.configuration.handle_update(received)
            await asyncio.sleep(1.0)
            for _ in range(300):
                one.configuration.handle_update(received)
                await asyncio.sleep(0.01)
            self.assertIn(len(requests), (3, 4))

        self.simulate(scenario, 2)

    def test_of_two_with_one_number_all_take_the_one_written_last(self):
        """Guards against gateways that serve different routes for good.

        Operators write version 5, the store loses it and then gets another
        version 5. Some gateways have applied the first, others the second.
        """

        def document(name):
            return json.dumps({'version': 5, 'name': name}).encode()

        async def scenario():
            store = self.fleet.store
            copy = store.snapshot()
            store.configure(document('first'))
            await self.within(1.0, lambda one: one.config_version == 5)
            for name in ('entry-1', 'entry-2', 'entry-3'):
                store.mode_for = lambda node, cut=name: (
                    StoreMode.SILENT if node == cut else StoreMode.SERVES
                )
            await self.fleet.drill(copy, rewrite_s=0.0)
            store.configure(document('second'))
            await self.within(
                drill.RECOVERY_S,
                lambda one: one.configuration.active.data == document('second'),
            )
            replaced = self.events_of(event.ConfigurationReplaced)
            self.assertEqual(len(replaced), drill.GATEWAYS)
            fresh = self.fleet.add_gateway('entry-99')
            await self.within(1.0, lambda one: one.config_version == 5, [fresh])
            await asyncio.sleep(3.0)
            for one in self.fleet.all:
                self.assertEqual(
                    one.configuration.active.data, document('second')
                )

        self.simulate(scenario)

    def test_one_written_again_changes_nothing(self):
        async def scenario():
            self.fleet.configure(5)
            await self.within(1.0, lambda one: one.config_version == 5)
            await self.fleet.drill(self.fleet.store.snapshot())
            await asyncio.sleep(4.0)
            self.assertEqual(self.events_of(event.ConfigurationReplaced), [])
            installed = self.events_of(event.ConfigurationInstalled)
            self.assertEqual(len(installed), 2 * drill.GATEWAYS)

        self.simulate(scenario)


class ZoneTest(drill.DrillTest):
    """Orders to drain a zone."""

    def is_on(self, one):
        return one.upstreams.zones.is_drained(ZONE)

    def test_an_order_holds_through_the_drill(self):
        """Guards against new work in a drained zone during the drill.

        The copy has the order, or lacks it until it is written again.
        """
        for is_in_copy in (False, True):
            with self.subTest(is_in_copy):

                async def scenario(is_in_copy=is_in_copy):
                    copy = self.fleet.store.snapshot()
                    self.fleet.drain_zone(ZONE, is_on=True)
                    if is_in_copy:
                        copy = self.fleet.store.snapshot()
                    await self.within(1.0, self.is_on)
                    async with self.always(self.is_on):
                        await self.fleet.drill(copy, rewrite_s=4.0)
                        await asyncio.sleep(15.0)
                    self.fleet.drain_zone(ZONE, is_on=False)
                    await self.within(1.0, lambda one: not self.is_on(one))

                self.simulate(scenario)

    def test_an_order_that_nobody_writes_again_ends(self):
        """If it were kept, the zone would stay idle until drained again."""

        async def scenario():
            copy = self.fleet.store.snapshot()
            self.fleet.drain_zone(ZONE, is_on=True)
            await self.within(1.0, self.is_on)
            await self.fleet.drill(copy, rewrite_s=0.0)
            await self.within(14.0, lambda one: not self.is_on(one))
            fresh = self.fleet.add_gateway('entry-99')
            await asyncio.sleep(3.0)
            self.assertFalse(self.is_on(fresh))

        self.simulate(scenario)

    def test_an_order_is_taken_back_under_a_lower_version(self):
        """Guards against a zone that stays idle after its order was cancelled.

        The order was written at a version that the store lost, and cancelled at
        a lower one.
        """

        async def scenario():
            copy = self.fleet.store.snapshot()
            self.fill(self.fleet.store.version + 200)
            self.fleet.drain_zone(ZONE, is_on=True)
            await self.within(1.0, self.is_on)
            await self.fleet.drill(copy, rewrite_s=0.0)
            self.fleet.drain_zone(ZONE, is_on=True)
            await asyncio.sleep(3.0)
            self.fleet.drain_zone(ZONE, is_on=False)
            await self.within(1.0, lambda one: not self.is_on(one))

        self.simulate(scenario)


if __name__ == '__main__':
    unittest.main()
