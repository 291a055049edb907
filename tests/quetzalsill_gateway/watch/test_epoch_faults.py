"""Tests of invalid epochs reported by a store or by a peer.

One faulty report must not make a gateway ignore correct ones afterwards, remove
upstreams, or cause calls to the store all the time.
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
    """Epochs reported by the store."""

    async def is_up_to_date(self):
        """Checks that edits and notices are known in time."""
        self.fleet.configure(7)
        self.fleet.drain_server('server-1')
        await self.within(
            2.0,
            lambda one: one.config_version == 7 and 'server-1' not in one.ids(),
        )

    def test_an_epoch_that_decreases_for_good(self):
        """The store is set up anew and counts epochs from one again.

        All its answers are then older than the known epoch. If they were
        discarded for good, gateways would serve an outdated state for ever.
        """

        async def scenario():
            await self.fleet.drill(self.fleet.store.snapshot(), epochs=5)
            await asyncio.sleep(3.0)
            async with self.always(lambda one: one.ids() == LIVE):
                await self.fleet.drill(self.fleet.store.snapshot(), epochs=-4)
                await asyncio.sleep(6.0)
            await self.is_up_to_date()
            self.assertEqual({o.epochs.newest for o in self.fleet.all}, {1})

        self.simulate(scenario)

    def test_an_epoch_that_jumps_for_one_answer(self):
        """One answer reports an epoch a thousand higher; the next ones do not.

        Meanwhile no update is applied, for a second or two.
        """

        async def scenario():
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

        self.simulate(scenario)

    def test_the_same_list_under_two_epochs(self):
        """The copy is current, so that nothing was lost."""

        async def scenario():
            async with self.always(lambda one: one.ids() == LIVE):
                for _ in range(3):
                    copy = self.fleet.store.snapshot()
                    await self.fleet.drill(copy, away_s=0.0, rewrite_s=0.0)
                    await asyncio.sleep(1.0)
            self.assertEqual(self.events_of(event.UpstreamRemoved), [])
            self.assertEqual(len(self.events_of(event.UpstreamAdded)), 20 * 24)
            await self.is_up_to_date()

        self.simulate(scenario)

    def test_a_loop_of_lost_histories_is_bounded(self):
        """The store answers list calls but refuses every feed with 410.

        It stays in one epoch. If a list followed at once each time, there would
        be a call to the store at any time. The allowed rate is that of a store
        that is down: a poll every two seconds for each table, with at least
        three quarters of that between two; here each poll is two calls.
        """

        async def scenario():
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

        self.simulate(scenario, 1)


class PeerTest(drill.DrillTest):
    """Updates from a peer."""

    def test_a_faulty_epoch_of_a_peer_does_no_harm_for_long(self):
        """Every kind of datagram reports an epoch that never existed.

        If it were kept, updates from the store and from peers would be ignored.
        """

        async def scenario():
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

        self.simulate(scenario)

    def test_an_empty_list_of_a_peer_hides_nothing(self):
        """A peer announces a new epoch with an empty snapshot.

        The snapshot is not applied, since it would leave no upstream to serve.
        If it were taken for an update without changes, it would hide the
        removal of a server in that epoch.
        """

        async def scenario():
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
                    drill.RECOVERY_S + 2.5, lambda one: one.ids() == left
                )

        self.simulate(scenario)

    def test_a_faulty_order_of_a_peer_ends(self):
        """A drain order has an epoch that never existed; it must not last.

        The gateway that receives it only follows its peers and does not poll.
        """

        async def scenario():
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

        self.simulate(scenario)

    def test_a_faulty_order_makes_no_update_malformed(self):
        """Guards against a gateway whose updates all peers discard.

        It holds a faulty drain order. If its updates contained it, they would
        be malformed, and no peer would learn of an edit from it while it polls.
        """

        async def scenario():
            one = self.fleet.all[0]
            faulty = zones.Drain('z', FAR, True)
            one.configuration.handle_update(
                update.ConfigurationUpdate(FAR, 0, b'', (faulty,))
            )
            whole = one.configuration.snapshot()
            data = update_codec.encode(one.node, whole)
            _, decoded = update_codec.decode(*frame.unpack(data))
            self.assertEqual(decoded.number, one.config_version)

        self.simulate(scenario, 2)

    def test_a_faulty_epoch_cancels_no_order(self):
        """A zone is drained; an update with a faulty epoch lacks the order."""

        def is_on(one):
            return one.upstreams.zones.is_drained('z')

        async def scenario():
            self.fleet.drain_zone('z', is_on=True)
            await self.within(1.0, is_on)
            async with self.always(is_on):
                for one in self.fleet.all:
                    one.configuration.handle_update(
                        update.ConfigurationUpdate(FAR, one.config_version)
                    )
                await asyncio.sleep(15.0)

        self.simulate(scenario)


class EpochTrackerTest(unittest.TestCase):
    """Answers in any order."""

    def simulate(self, scenario):
        async def work():
            await scenario(epoch.EpochTracker())

        clock.run(work)

    def test_a_late_answer_changes_nothing(self):
        """A slow call was sent before the drill and is answered long after it.

        Its answer would take the gateway back to the lost state.
        """

        async def scenario(epochs):
            epochs.observe('get', 1, 0)
            epochs.observe('get', 2, 1)
            for _ in range(100):
                await asyncio.sleep(0.1)
                with self.assertRaises(error.StaleResponseError):
                    epochs.observe('feed', 1, 1)
            self.assertEqual(epochs.newest, 2)

        self.simulate(scenario)

    def test_one_answer_of_an_older_epoch_is_not_believed(self):
        async def scenario(epochs):
            epochs.observe('get', 2, 0)
            for _ in range(10):
                with self.assertRaises(error.StaleResponseError):
                    epochs.observe('get', 1, 2)
                await asyncio.sleep(0.9)
                epochs.observe('get', 2, 2)
                await asyncio.sleep(0.9)
            self.assertEqual(epochs.newest, 2)

        self.simulate(scenario)

    def test_a_lower_epoch_counts_once_it_is_reported_for_long(self):
        async def scenario(epochs):
            epochs.observe('get', 7, 0)
            with self.assertRaises(error.StaleResponseError):
                epochs.observe('get', 1, 7)
            await asyncio.sleep(epoch.DOWNGRADE_AFTER_S + 0.1)
            epochs.observe('get', 1, 7)
            self.assertEqual(epochs.newest, 1)

        self.simulate(scenario)

    def test_callbacks_run_once_per_epoch(self):
        async def scenario(epochs):
            seen = []
            epochs.on_change(lambda: seen.append(epochs.newest))
            for reported in (3, 3, 4, 4, 9):
                epochs.observe('get', reported, epochs.newest)
            # The first epoch ends none before it.
            self.assertEqual(seen, [4, 9])

        self.simulate(scenario)


if __name__ == '__main__':
    unittest.main()
