"""What operators write, while the store comes back from an older copy."""

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
        """Operators withdraw a key; whoever holds it is let in again.

        The copy was taken just before, or just after, and holds the older
        configuration in the first case until operators write theirs again.
        """
        for is_in_copy in (False, True):
            with self.subTest(is_in_copy):

                async def story(is_in_copy=is_in_copy):
                    copy = self.fleet.store.snapshot()
                    self.fleet.configure(5)
                    if is_in_copy:
                        copy = self.fleet.store.snapshot()
                    await self.within(1.0, lambda one: one.config_version == 5)
                    async with self.always(lambda one: one.config_version == 5):
                        await self.fleet.drill(copy)
                        await asyncio.sleep(6.0)

                self.play(story)

    def test_a_version_given_out_again_hides_no_configuration(self):
        """A key is withdrawn right after the drill, and goes on being taken.

        The configuration without it has a version that was given out before,
        and versions are past what the gateways know when they ask.
        """

        async def story():
            copy = self.fleet.store.snapshot()
            known = self.fleet.store.version + 50
            self.fill(known)
            await asyncio.sleep(1.0)
            # No call fails, so that there is nothing else to see of it.
            await self.fleet.drill(copy, away_s=0.0, rewrite_s=0.0)
            self.fleet.configure(2)
            self.fill(known + 50)
            await self.within(
                drill.KNOWN_S, lambda one: one.config_version == 2
            )

        self.play(story)

    def test_who_starts_after_the_drill_gets_the_newest(self):
        """The copy has an older configuration, and operators are slow.

        A gateway that starts reads that. The others tell it of the newer one,
        which the store doesn't have: asked for it, the store would be called
        all the time, and the key that was withdrawn would be good there.
        """

        async def story():
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

        self.play(story)

    def test_what_others_tell_in_vain_is_not_asked_for_on_and_on(self):
        """A gateway cannot make the configuration that the others have.

        The store lacks it, and a document of a later release is none to it. It
        asks two others, and each answer would have it ask two again: within a
        second they would do nothing else.
        """

        async def story():
            asked = []
            one = self.fleet.all[0]
            one.configuration.on_missing(lambda: asked.append(one.node))
            told = update.ConfigurationUpdate(
                revision.Revision(0, 1), 9, b'patch'
            )
            one.configuration.handle_update(told)
            await asyncio.sleep(1.0)
            for _ in range(300):
                one.configuration.handle_update(told)
                await asyncio.sleep(0.01)
            self.assertIn(len(asked), (3, 4))

        self.play(story, 2)

    def test_of_two_with_one_number_all_take_the_one_written_last(self):
        """Operators write version 5; the store loses it, and gets another 5.

        Gateways that took the first beside some that took the second would
        serve other routes, each for good.
        """

        def document(name):
            return json.dumps({'version': 5, 'name': name}).encode()

        async def story():
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
                drill.KNOWN_S,
                lambda one: one.configuration.active.data == document('second'),
            )
            replaced = self.told(event.ConfigurationReplaced)
            self.assertEqual(len(replaced), drill.GATEWAYS)
            fresh = self.fleet.add_gateway('entry-99')
            await self.within(1.0, lambda one: one.config_version == 5, [fresh])
            await asyncio.sleep(3.0)
            for one in self.fleet.all:
                self.assertEqual(
                    one.configuration.active.data, document('second')
                )

        self.play(story)

    def test_one_written_again_changes_nothing(self):
        async def story():
            self.fleet.configure(5)
            await self.within(1.0, lambda one: one.config_version == 5)
            await self.fleet.drill(self.fleet.store.snapshot())
            await asyncio.sleep(4.0)
            self.assertEqual(self.told(event.ConfigurationReplaced), [])
            installed = self.told(event.ConfigurationInstalled)
            self.assertEqual(len(installed), 2 * drill.GATEWAYS)

        self.play(story)


class ZoneTest(drill.DrillTest):
    """Orders to drain a zone."""

    def is_on(self, one):
        return one.upstreams.zones.is_drained(ZONE)

    def test_an_order_holds_through_the_drill(self):
        """Operators empty a zone; in the drill new work goes there.

        The copy has the order, or lacks it until it is written again.
        """
        for is_in_copy in (False, True):
            with self.subTest(is_in_copy):

                async def story(is_in_copy=is_in_copy):
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

                self.play(story)

    def test_an_order_that_nobody_writes_again_ends(self):
        """Kept for good, the zone would stand idle until it is drained anew."""

        async def story():
            copy = self.fleet.store.snapshot()
            self.fleet.drain_zone(ZONE, is_on=True)
            await self.within(1.0, self.is_on)
            await self.fleet.drill(copy, rewrite_s=0.0)
            await self.within(14.0, lambda one: not self.is_on(one))
            fresh = self.fleet.add_gateway('entry-99')
            await asyncio.sleep(3.0)
            self.assertFalse(self.is_on(fresh))

        self.play(story)

    def test_an_order_is_taken_back_under_a_lower_version(self):
        """A zone stands idle, although operators have taken it back.

        The order was written at a version that the store lost, and taken back
        at a lower one.
        """

        async def story():
            copy = self.fleet.store.snapshot()
            self.fill(self.fleet.store.version + 200)
            self.fleet.drain_zone(ZONE, is_on=True)
            await self.within(1.0, self.is_on)
            await self.fleet.drill(copy, rewrite_s=0.0)
            self.fleet.drain_zone(ZONE, is_on=True)
            await asyncio.sleep(3.0)
            self.fleet.drain_zone(ZONE, is_on=False)
            await self.within(1.0, lambda one: not self.is_on(one))

        self.play(story)


if __name__ == '__main__':
    unittest.main()
