"""Word of the past, taken while a gateway has no feed to read on from.

The source has ended the feed, and the list that follows is refused: nothing is
known up to any revision then, but all that was accepted still is.
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


class Script:
    """Answers of a source, one after the other; refuses behind the last."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.epochs = epoch.EpochTracker()

    async def ask(self, after, wait_s):
        asked = self.epochs.newest
        await asyncio.sleep(0.01)
        if not self.answers:
            raise error.SourceError('refused')
        answer = self.answers.pop(0)
        # Every answer tells the epoch, before anything else is taken of it.
        told = asked if answer is None else answer.revision.epoch
        self.epochs.observe('rows', told, asked)
        return answer


class StaleUpdateTest(unittest.TestCase):
    """A gateway whose source has answered 410 and is away since."""

    def setUp(self):
        quiet = mock.patch.object(event, 'note')
        quiet.start()
        self.addCleanup(quiet.stop)

    def play(self, follower, story):
        async def work():
            self.upstreams = upstream.Upstreams()
            one = follower()
            task = asyncio.create_task(one.run())
            try:
                await asyncio.sleep(3.0)
                await story(one)
            finally:
                task.cancel()

        clock.run(work)

    def membership(self, *answers):
        script = Script(*answers)
        return membership.Membership(
            script.ask,
            self.upstreams,
            source.Health(),
            BOUND_S,
            epochs=script.epochs,
        )

    def configuration(self, *answers):
        script = Script(*answers)
        return configuration.Configuration(
            script.ask,
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
        """A server that has ended gets new work again, for good.

        The store's feed says that it is gone; then the store loses its history
        and is away. Asked for all, a gateway that was cut off before answers
        with its list, which still has the server.
        """

        def follower():
            gone = upstream.Change(ENDED.id, at(60), None)
            return self.membership(
                source.PollResult([STAYS, ENDED], at(50), True),
                source.PollResult([gone], at(60), False),
                None,
            )

        async def story(one):
            self.assertEqual(self.ids(), {STAYS.id})
            one.handle_update(
                update.MembershipUpdate(
                    update.BEGINNING, at(55), (STAYS, ENDED), sender='cut-off'
                )
            )
            self.assertEqual(self.ids(), {STAYS.id})

        self.play(follower, story)

    def test_a_list_of_before_drops_no_server(self):
        """A server that lives gets no work, and its runs move away.

        It entered after the list that a gateway tells which was cut off since.
        """
        later = upstream.Change(ENDED.id, at(60), ENDED.upstream)

        def follower():
            return self.membership(
                source.PollResult([STAYS], at(50), True),
                source.PollResult([later], at(60), False),
                None,
            )

        async def story(one):
            self.assertEqual(self.ids(), {STAYS.id, ENDED.id})
            one.handle_update(
                update.MembershipUpdate(
                    update.BEGINNING, at(55), (STAYS,), sender='cut-off'
                )
            )
            self.assertEqual(self.ids(), {STAYS.id, ENDED.id})

        self.play(follower, story)

    def test_a_list_of_the_epoch_before_brings_no_ended_server_back(self):
        """The same across a drill: the list of the new epoch lacks the server.

        A gateway that is cut off from the store tells that of the old one.
        """

        def follower():
            return self.membership(
                source.PollResult([STAYS, ENDED], at(50), True),
                None,
                source.PollResult([STAYS], at(40, 8), True),
                None,
            )

        async def story(one):
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

        self.play(follower, story)

    def test_a_whole_hides_no_order_that_was_taken_back(self):
        """A zone stands idle, although operators have taken it back.

        The store loses its history and is away. Another gateway that has listed
        the orders since tells the configuration whole, without the order; taken
        as all up to there, nobody asks what came before.
        """
        stands = zones.Drain('z', at(20), True)

        def follower():
            found = [source.Document(DOCUMENT, at(10)), stands]
            return self.configuration(
                source.PollResult(found, at(50), True),
                None,
            )

        async def story(one):
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
            # Either the order is gone, or the gateway is not up to there.
            is_on = self.upstreams.zones.is_drained('z')
            self.assertFalse(is_on and one._revision == at(70))

        self.play(follower, story)

    def test_a_late_word_takes_no_order_back(self):
        """Work goes to a drained zone, while the store is away.

        Two gateways that were cut off before the order was written tell this
        one what they know, more than five seconds apart. Neither is the source,
        and neither says that the source has no such order.
        """
        stands = zones.Drain('z', at(60), True)

        def follower():
            document = source.Document(DOCUMENT, at(10))
            return self.configuration(
                source.PollResult([document], at(50), True),
                source.PollResult([stands], at(60), False),
            )

        async def story(one):
            self.assertTrue(self.upstreams.zones.is_drained('z'))
            for _ in range(2):
                one.handle_update(
                    update.ConfigurationUpdate(at(55), 5, sender='cut-off')
                )
                await asyncio.sleep(configuration.AHEAD_S + 1.0)
            self.assertTrue(self.upstreams.zones.is_drained('z'))

        self.play(follower, story)

    def test_a_word_of_the_epoch_before_takes_no_order_back(self):
        """The same, of gateways that are cut off since before a drill."""
        stands = zones.Drain('z', at(20, 8), True)

        def follower():
            document = source.Document(DOCUMENT, at(10, 8))
            return self.configuration(
                source.PollResult([document, stands], at(30, 8), True),
            )

        async def story(one):
            for _ in range(2):
                one.handle_update(
                    update.ConfigurationUpdate(at(55), 5, sender='cut-off')
                )
                await asyncio.sleep(configuration.AHEAD_S + 1.0)
            self.assertTrue(self.upstreams.zones.is_drained('z'))

        self.play(follower, story)

    def test_of_two_with_one_number_the_older_does_not_come_again(self):
        """Keys that operators have withdrawn are good again.

        They have written another document under the same number. The store
        loses its history and is away; a gateway that was cut off since before
        tells the document that it has.
        """
        first = json.dumps({'version': 5, 'name': 'first'}).encode()

        def follower():
            found = source.Document(DOCUMENT, at(40))
            return self.configuration(
                source.PollResult([found], at(50), True), None
            )

        async def story(one):
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

        self.play(follower, story)


class FallenEpochTest(drill.DrillTest):
    """The store tells an older epoch from now on."""

    def test_a_drained_zone_stays_drained(self):
        """New work goes to a zone whose order always stood, on all gateways.

        Somebody sets the store up anew from what it holds, and it counts from
        one again. The order as listed is older than the one that is known,
        which is dropped as faulty some seconds later; nobody lists anew then.
        """

        async def story():
            await self.fleet.drill(self.fleet.store.snapshot(), epochs=5)
            await asyncio.sleep(3.0)
            self.fleet.drain_zone('z', is_on=True)
            await self.within(1.0, is_drained)
            async with self.always(is_drained):
                await self.fleet.drill(self.fleet.store.snapshot(), epochs=-4)
                await asyncio.sleep(20.0)

        self.play(story)


class FaultyOrderTest(drill.DrillTest):
    """A datagram tells an order for a zone of a revision that never was."""

    def test_the_order_that_stands_is_in_force_again(self):
        """New work goes for good to a zone that operators have drained.

        The faulty order takes the place of theirs. Dropped some seconds later
        by an answer of the store, it leaves nothing, and the zone's own order
        is not listed again.
        """
        for epochs in (0, 1):
            for is_on in (True, False):
                with self.subTest(epochs=epochs, is_on=is_on):
                    self.play(lambda e=epochs, o=is_on: self.story(e, o), 1)

    async def story(self, epochs, is_on):
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


class WrongWatcherTest(drill.DrillTest):
    """One gateway is told another epoch than the others, for good."""

    def test_the_others_do_not_ask_all_the_time(self):
        """The store has a dozen times as many calls, until somebody notices.

        A proxy before one gateway answers with an epoch that never was. Each
        word of that gateway sends all others to the store within a second,
        which has told them each time that it is in no such epoch. They are to
        ask as often as in a drill, three times each, and as usual otherwise.
        """

        async def story():
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

        self.play(story)

    async def calls(self, for_s):
        """Returns how many calls there are, and who makes the most."""
        before = dict(self.fleet.store.calls)
        await asyncio.sleep(for_s)
        made = {
            name: calls - before.get(name, 0)
            for name, calls in self.fleet.store.calls.items()
        }
        return sum(made.values()), max(made, key=made.get)


if __name__ == '__main__':
    unittest.main()
