"""Epochs that make no sense, of a store or of another gateway.

One faulty word must not make a gateway deaf to what is true afterwards, take
anybody out, or have it call the store all the time.
"""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import error, event
from quetzalsill_gateway.fleet import revision, zones
from quetzalsill_gateway.peers import frame, update_codec
from quetzalsill_gateway.watch import epoch, update
from tests.quetzalsill_gateway.watch import drill

LIVE = {f'server-{n}' for n in range(20)}
FAR = revision.Revision(2**52, 2**52)


class StoreTest(drill.DrillTest):
    """What the store tells."""

    async def is_up_to_date(self):
        """Checks that edits and notices are known in their time."""
        self.fleet.configure(7)
        self.fleet.drain_server('server-1')
        await self.within(
            2.0,
            lambda one: one.config_version == 7 and 'server-1' not in one.ids(),
        )

    def test_an_epoch_that_falls_for_good(self):
        """Somebody sets the store up anew, and it counts from one again.

        All its answers are then older than what is known. Left out for good,
        gateways would serve for ever what they knew that day.
        """

        async def story():
            await self.fleet.drill(self.fleet.store.snapshot(), epochs=5)
            await asyncio.sleep(3.0)
            async with self.always(lambda one: one.ids() == LIVE):
                await self.fleet.drill(self.fleet.store.snapshot(), epochs=-4)
                await asyncio.sleep(6.0)
            await self.is_up_to_date()
            self.assertEqual({o.epochs.newest for o in self.fleet.all}, {1})

        self.play(story)

    def test_an_epoch_that_jumps_for_one_answer(self):
        """One answer tells an epoch of a thousand; the next ones tell it not.

        Nothing is known anew meanwhile, but for a second or two.
        """

        async def story():
            store = self.fleet.store
            await self.fleet.drill(store.snapshot())
            await asyncio.sleep(3.0)
            async with self.always(lambda one: one.ids() == LIVE):
                store.epoch += 1000
                await asyncio.sleep(0.02)
                store.epoch -= 1000
                await asyncio.sleep(5.0)
            await self.is_up_to_date()
            self.assertEqual({o.epochs.newest for o in self.fleet.all}, {1})

        self.play(story)

    def test_the_same_list_under_two_epochs(self):
        """The copy is of the last moment: nothing was lost, all is the same."""

        async def story():
            async with self.always(lambda one: one.ids() == LIVE):
                for _ in range(3):
                    copy = self.fleet.store.snapshot()
                    await self.fleet.drill(copy, away_s=0.0, rewrite_s=0.0)
                    await asyncio.sleep(1.0)
            self.assertEqual(self.told(event.UpstreamRemoved), [])
            self.assertEqual(len(self.told(event.UpstreamAdded)), 20 * 24)
            await self.is_up_to_date()

        self.play(story)

    def test_a_loop_of_lost_histories_is_bounded(self):
        """The store lists all and says 410 to every feed, in one epoch.

        Listed at once each time, there would be a call there all the time. A
        store that is away is asked every two seconds for each table, and three
        quarters of that at the least; here that is two calls.
        """

        async def story():
            store = self.fleet.store
            store.reports_compacted = lambda _: True
            await asyncio.sleep(5.0)
            before = sum(store.calls.values())
            self.fleet.configure(7)
            self.fleet.drain_server('server-1')
            await asyncio.sleep(15.0)
            calls = sum(store.calls.values()) - before
            self.assertLess(calls, 2 * 2 * (1 + 15.0 / (0.75 * 2.0)))
            for one in self.fleet.all:
                self.assertEqual(one.config_version, 7)
                self.assertNotIn('server-1', one.ids())
            store.reports_compacted = lambda _: False
            await asyncio.sleep(4.0)
            self.fleet.configure(8)
            await self.within(2.0, lambda one: one.config_version == 8)

        self.play(story, 1)


class PeerTest(drill.DrillTest):
    """What another gateway tells."""

    def test_a_faulty_epoch_of_a_peer_does_no_harm_for_long(self):
        """A datagram tells an epoch that never was, of all that it can.

        Taken for good, neither the store nor anyone would be heard again.
        """

        async def story():
            await self.fleet.drill(self.fleet.store.snapshot())
            await asyncio.sleep(3.0)
            async with self.always(lambda one: one.ids() == LIVE):
                for one in self.fleet.all:
                    far = revision.Revision(1, 2**52)
                    one.membership.handle_update(
                        update.MembershipUpdate(update.BEGINNING, far)
                    )
                    one.membership.handle_update(
                        update.MembershipUpdate(FAR, FAR)
                    )
                    one.membership.handle_update(
                        update.MembershipUpdate(update.BEGINNING, FAR)
                    )
                    one.configuration.handle_update(
                        update.ConfigurationUpdate(FAR, 1)
                    )
                await asyncio.sleep(3.0)
            self.fleet.configure(7)
            self.fleet.drain_server('server-1')
            await self.within(
                2.0,
                lambda one: (
                    one.config_version == 7 and 'server-1' not in one.ids()
                ),
            )

        self.play(story)

    def test_an_empty_list_of_a_peer_hides_nothing(self):
        """A gateway tells of a new epoch, with a list that has no entries.

        The list is not taken, for it would leave nobody to serve. Taken for all
        that has changed, it would hide a server that has gone in that epoch.
        """

        async def story():
            store = self.fleet.store
            store.restore(store.snapshot())
            self.fleet.remove_server('server-2')
            at = revision.Revision(store.epoch, store.version)
            for one in self.fleet.all:
                one.membership.handle_update(
                    update.MembershipUpdate(update.BEGINNING, at)
                )
            left = LIVE - {'server-2'}
            async with self.always(lambda one: left <= one.ids()):
                await self.within(
                    drill.KNOWN_S + 2.5, lambda one: one.ids() == left
                )

        self.play(story)

    def test_a_faulty_order_of_a_peer_ends(self):
        """A zone is drained at an epoch that never was; it is not for good.

        Of the gateways that hear the others only and ask nobody, too.
        """

        async def story():
            before = dict(self.fleet.store.calls)
            await asyncio.sleep(3.0)
            calls = self.fleet.store.calls
            node = min(calls, key=lambda name: calls[name] - before[name])
            one = self.fleet.gateways[node]
            faulty = zones.Drain('z', FAR, True)
            one.configuration.handle_update(
                update.ConfigurationUpdate(FAR, 0, b'', (faulty,))
            )
            self.assertTrue(one.upstreams.zones.is_drained('z'))
            await self.within(
                20.0, lambda one: not one.upstreams.zones.is_drained('z')
            )

        self.play(story)

    def test_a_faulty_order_makes_no_news_malformed(self):
        """One gateway holds it; told with its news, that would be left out.

        Nobody would hear of an edit from that gateway, whoever watches.
        """

        async def story():
            one = self.fleet.all[0]
            faulty = zones.Drain('z', FAR, True)
            one.configuration.handle_update(
                update.ConfigurationUpdate(FAR, 0, b'', (faulty,))
            )
            whole = one.configuration.snapshot()
            data = update_codec.encode(one.node, whole)
            _, told = update_codec.decode(*frame.unpack(data))
            self.assertEqual(told.number, one.config_version)

        self.play(story, 2)

    def test_a_faulty_epoch_takes_no_order_back(self):
        """A zone is drained; a datagram tells an epoch without that order."""

        def is_on(one):
            return one.upstreams.zones.is_drained('z')

        async def story():
            self.fleet.drain_zone('z', is_on=True)
            await self.within(1.0, is_on)
            async with self.always(is_on):
                for one in self.fleet.all:
                    one.configuration.handle_update(
                        update.ConfigurationUpdate(FAR, one.config_version)
                    )
                await asyncio.sleep(15.0)

        self.play(story)


class EpochsTest(unittest.TestCase):
    """Answers in any order."""

    def play(self, story):
        async def work():
            await story(epoch.EpochTracker())

        clock.run(work)

    def test_a_late_answer_changes_nothing(self):
        """A slow call was sent before the drill and is answered long after.

        Believed, it would take the gateway back to what was lost.
        """

        async def story(epochs):
            epochs.observe('get', 1, 0)
            epochs.observe('get', 2, 1)
            for _ in range(100):
                await asyncio.sleep(0.1)
                with self.assertRaises(error.StaleResponseError):
                    epochs.observe('feed', 1, 1)
            self.assertEqual(epochs.newest, 2)

        self.play(story)

    def test_one_answer_of_an_older_epoch_is_not_believed(self):
        async def story(epochs):
            epochs.observe('get', 2, 0)
            for _ in range(10):
                with self.assertRaises(error.StaleResponseError):
                    epochs.observe('get', 1, 2)
                await asyncio.sleep(0.9)
                epochs.observe('get', 2, 2)
                await asyncio.sleep(0.9)
            self.assertEqual(epochs.newest, 2)

        self.play(story)

    def test_an_epoch_that_fell_counts_when_it_is_told_on_and_on(self):
        async def story(epochs):
            epochs.observe('get', 7, 0)
            with self.assertRaises(error.StaleResponseError):
                epochs.observe('get', 1, 7)
            await asyncio.sleep(epoch.DOWNGRADE_AFTER_S + 0.1)
            epochs.observe('get', 1, 7)
            self.assertEqual(epochs.newest, 1)

        self.play(story)

    def test_whoever_follows_is_called_back_once_an_epoch(self):
        async def story(epochs):
            seen = []
            epochs.on_change(lambda: seen.append(epochs.newest))
            for told in (3, 3, 4, 4, 9):
                epochs.observe('get', told, epochs.newest)
            # With the first there was none before it to end.
            self.assertEqual(seen, [4, 9])

        self.play(story)


if __name__ == '__main__':
    unittest.main()
