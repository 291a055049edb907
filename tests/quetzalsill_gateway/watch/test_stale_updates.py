"""Tests of outdated updates that arrive while no feed can be resumed.

The source has ended the feed and refuses the list that follows: no revision is
known then, but all that was applied before still is.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest import mock

from quetzalsill_dev.simulation import clock, watchers
from quetzalsill_gateway import error, event, source
from quetzalsill_gateway.fleet import revision, upstream, zones
from quetzalsill_gateway.watch import configuration, epoch, membership, update
from quetzalsill_gateway.watch import patch as patch_lib
from tests.quetzalsill_gateway.watch import drill

SERVICE = 'engines'
DOCUMENT = json.dumps({'version': 5}).encode()
BOUND_S = 2.0


def at(version, number=7):
    return revision.Revision(number, version)


def entry(name, port):
    found = upstream.Upstream(
        name, SERVICE, ('10.0.0.1', port), 'z', incarnation=1
    )
    return upstream.Change(name, at(50), found)


STAYS, ENDED = entry('server-1', 1), entry('server-2', 2)


def is_drained(one):
    return one.upstreams.zones.is_drained('z')


class ScriptedSource:
    """A source with scripted answers; it refuses calls after the last."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.epochs = epoch.EpochTracker()

    async def poll(self, after, wait_s):
        newest_when_sent = self.epochs.newest
        await asyncio.sleep(0.01)
        if not self.answers:
            raise error.SourceError('refused')
        answer = self.answers.pop(0)
        # Every answer has its epoch checked before its content is used.
        reported = newest_when_sent if answer is None else answer.revision.epoch
        self.epochs.observe('rows', reported, newest_when_sent)
        return answer


class StaleUpdateTest(unittest.TestCase):
    """A gateway whose source has answered 410 and is down since."""

    def setUp(self):
        patcher = mock.patch.object(event, 'note')
        patcher.start()
        self.addCleanup(patcher.stop)

    def simulate(self, follower, scenario):
        async def work():
            self.upstreams = upstream.Upstreams()
            one = follower()
            task = asyncio.create_task(one.run())
            try:
                await asyncio.sleep(3.0)
                await scenario(one)
            finally:
                task.cancel()

        clock.run(work)

    def membership(self, *answers):
        script = ScriptedSource(*answers)
        return membership.Membership(
            script.poll,
            self.upstreams,
            source.Health(),
            BOUND_S,
            epochs=script.epochs,
        )

    def configuration(self, *answers):
        script = ScriptedSource(*answers)
        return configuration.Configuration(
            script.poll,
            watchers._parse_document,
            source.RoutingTableHolder(),
            self.upstreams.zones,
            source.Health(),
            lambda: 2,
            BOUND_S,
            epochs=script.epochs,
        )

    def ids(self):
        return {found.id for found in self.upstreams.available(SERVICE)}

    def test_a_list_of_before_brings_no_ended_server_back(self):
        """Guards against a server that has ended and gets new work for good.

        The feed of the store reports the removal; then the store loses its
        history and is down. A peer that was partitioned off before answers with
        its snapshot, which still has the server.
        """

        def follower():
            gone = upstream.Change(ENDED.id, at(60), None)
            return self.membership(
                source.PollResult([STAYS, ENDED], at(50), True),
                source.PollResult([gone], at(60), False),
                None,
            )

        async def scenario(one):
            self.assertEqual(self.ids(), {STAYS.id})
            one.handle_update(
                update.MembershipUpdate(
                    update.BEGINNING, at(55), (STAYS, ENDED), sender='cut-off'
                )
            )
            self.assertEqual(self.ids(), {STAYS.id})

        self.simulate(follower, scenario)

    def test_a_list_of_before_drops_no_server(self):
        """Guards against a running server that gets no work and loses its runs.

        It started after the snapshot of a peer that has been partitioned off
        since.
        """
        later = upstream.Change(ENDED.id, at(60), ENDED.upstream)

        def follower():
            return self.membership(
                source.PollResult([STAYS], at(50), True),
                source.PollResult([later], at(60), False),
                None,
            )

        async def scenario(one):
            self.assertEqual(self.ids(), {STAYS.id, ENDED.id})
            one.handle_update(
                update.MembershipUpdate(
                    update.BEGINNING, at(55), (STAYS,), sender='cut-off'
                )
            )
            self.assertEqual(self.ids(), {STAYS.id, ENDED.id})

        self.simulate(follower, scenario)

    def test_a_list_of_the_epoch_before_brings_no_ended_server_back(self):
        """The same across a drill: the list of the new epoch lacks the server.

        A gateway without a connection to the store sends that of the old one.
        """

        def follower():
            return self.membership(
                source.PollResult([STAYS, ENDED], at(50), True),
                None,
                source.PollResult([STAYS], at(40, 8), True),
                None,
            )

        async def scenario(one):
            one._epochs.observe('rows-feed', 8, 0)
            await asyncio.sleep(upstream.LAPSE_GRACE_S)
            self.assertEqual(self.ids(), {STAYS.id})
            one.handle_update(
                update.MembershipUpdate(
                    update.BEGINNING, at(55), (STAYS, ENDED), sender='cut-off'
                )
            )
            await asyncio.sleep(upstream.LAPSE_GRACE_S + 0.1)
            self.assertEqual(self.ids(), {STAYS.id})

        self.simulate(follower, scenario)

    def test_a_snapshot_hides_no_order_that_was_cancelled(self):
        """Guards against a zone that stays idle after its order was cancelled.

        The store loses its history and is down. A peer that has listed the
        orders since sends a snapshot of the configuration without the order; if
        it were taken for complete, the cancellation would never be polled for.
        """
        stands = zones.Drain('z', at(20), True)

        def follower():
            found = [source.Document(DOCUMENT, at(10)), stands]
            return self.configuration(
                source.PollResult(found, at(50), True),
                None,
            )

        async def scenario(one):
            one.handle_update(
                update.ConfigurationUpdate(
                    at(70),
                    5,
                    patch_lib.make(b'', DOCUMENT),
                    mod_revision=at(10),
                    digest=patch_lib.digest(DOCUMENT),
                    sender='started-since',
                )
            )
            # Either the order is cancelled, or that revision is not yet
            # reached.
            is_on = self.upstreams.zones.is_drained('z')
            self.assertFalse(is_on and one._revision == at(70))

        self.simulate(follower, scenario)

    def test_a_late_update_cancels_no_order(self):
        """Guards against work in a drained zone while the store is down.

        Two peers that were partitioned off before the order was written send
        what they know, more than five seconds apart. Neither is the source, and
        neither shows that the source has no such order.
        """
        stands = zones.Drain('z', at(60), True)

        def follower():
            document = source.Document(DOCUMENT, at(10))
            return self.configuration(
                source.PollResult([document], at(50), True),
                source.PollResult([stands], at(60), False),
            )

        async def scenario(one):
            self.assertTrue(self.upstreams.zones.is_drained('z'))
            for _ in range(2):
                one.handle_update(
                    update.ConfigurationUpdate(at(55), 5, sender='cut-off')
                )
                await asyncio.sleep(configuration.MAX_AHEAD_S + 1.0)
            self.assertTrue(self.upstreams.zones.is_drained('z'))

        self.simulate(follower, scenario)

    def test_an_update_of_an_older_epoch_cancels_no_order(self):
        """The same with peers partitioned off since before a drill."""
        stands = zones.Drain('z', at(20, 8), True)

        def follower():
            document = source.Document(DOCUMENT, at(10, 8))
            return self.configuration(
                source.PollResult([document, stands], at(30, 8), True),
            )

        async def scenario(one):
            for _ in range(2):
                one.handle_update(
                    update.ConfigurationUpdate(at(55), 5, sender='cut-off')
                )
                await asyncio.sleep(configuration.MAX_AHEAD_S + 1.0)
            self.assertTrue(self.upstreams.zones.is_drained('z'))

        self.simulate(follower, scenario)

    def test_of_two_with_one_number_the_older_does_not_come_again(self):
        """Guards against withdrawn keys that become valid again.

        Operators have written another document with the same number. The store
        loses its history and is down; a peer that was partitioned off before
        sends the document that it has.
        """
        first = json.dumps({'version': 5, 'name': 'first'}).encode()

        def follower():
            found = source.Document(DOCUMENT, at(40))
            return self.configuration(
                source.PollResult([found], at(50), True), None
            )

        async def scenario(one):
            one.handle_update(
                update.ConfigurationUpdate(
                    at(35),
                    5,
                    patch_lib.make(b'', first),
                    mod_revision=at(30),
                    digest=patch_lib.digest(first),
                    sender='cut-off',
                )
            )
            self.assertEqual(one.active.data, DOCUMENT)

        self.simulate(follower, scenario)


class LowerEpochTest(drill.DrillTest):
    """The store reports an older epoch from now on."""

    def test_a_drained_zone_stays_drained(self):
        """Guards against work in a drained zone, on all gateways.

        The store is set up anew from what it holds and counts epochs from one
        again. The order as listed is older than the known one, which is dropped
        as faulty some seconds later; no list follows then.
        """

        async def scenario():
            await self.fleet.drill(self.fleet.store.snapshot(), epochs=5)
            await asyncio.sleep(3.0)
            self.fleet.drain_zone('z', is_on=True)
            await self.within(1.0, is_drained)
            async with self.always(is_drained):
                await self.fleet.drill(self.fleet.store.snapshot(), epochs=-4)
                await asyncio.sleep(20.0)

        self.simulate(scenario)


class FaultyOrderTest(drill.DrillTest):
    """A datagram has a drain order with a revision that never existed."""

    def test_the_order_that_stands_is_in_force_again(self):
        """Guards against work for good in a zone that operators have drained.

        The faulty order replaces theirs. When an answer of the store drops it
        some seconds later, no order is left, and that of the zone is not listed
        again.
        """
        for epochs in (0, 1):
            for is_on in (True, False):
                with self.subTest(epochs=epochs, is_on=is_on):
                    self.simulate(
                        lambda e=epochs, o=is_on: self.scenario(e, o), 1
                    )

    async def scenario(self, epochs, is_on):
        if epochs:
            await self.fleet.drill(self.fleet.store.snapshot())
            await asyncio.sleep(3.0)
        self.fleet.drain_zone('z', is_on=True)
        await self.within(3.0, is_drained)
        [one] = self.fleet.all
        far = revision.Revision(epochs, 2**52)
        one.upstreams.zones.apply_newer([zones.Drain('z', far, is_on)])
        await asyncio.sleep(30.0)
        self.assertTrue(is_drained(one))


class WrongEpochTest(drill.DrillTest):
    """One gateway gets another epoch than the others, for good."""

    def test_the_others_do_not_poll_all_the_time(self):
        """Guards against a dozen times as many calls to the store.

        A proxy before one gateway answers with an epoch that never existed.
        Each update of that gateway sends all others to the store within a
        second, which has denied the epoch each time. They may poll as often as
        in a drill, three times each, and as usual otherwise.
        """

        async def scenario():
            store = self.fleet.store
            await self.fleet.drill(store.snapshot())
            await asyncio.sleep(5.0)
            usual, watcher = await self.calls(20.0)
            right = store._epoch_for
            store._epoch_for = lambda node: (
                1000 if node == watcher else right(node)
            )
            await asyncio.sleep(5.0)
            found, _ = await self.calls(20.0)
            self.assertLess(found, 2 * usual + 3 * drill.GATEWAYS)

        self.simulate(scenario)

    async def calls(self, for_s):
        """Returns the number of calls, and the gateway that makes the most."""
        before = dict(self.fleet.store.calls)
        await asyncio.sleep(for_s)
        made = {
            name: calls - before.get(name, 0)
            for name, calls in self.fleet.store.calls.items()
        }
        return sum(made.values()), max(made, key=made.get)


if __name__ == '__main__':
    unittest.main()
