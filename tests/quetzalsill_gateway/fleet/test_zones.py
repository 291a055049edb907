"""Availability zones that operators drain."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import revision, upstream, zones

NAMES = ('a', 'b')
HISTORY = st.lists(
    st.tuples(st.sampled_from(NAMES), st.booleans()), min_size=1, max_size=8
)


def at(version):
    """Returns a revision of a source that tells no epochs."""
    return revision.Revision(0, version)


class ZonesTest(unittest.IsolatedAsyncioTestCase):
    """Orders come late, twice, and out of order."""

    async def asyncSetUp(self):
        quiet = mock.patch.object(event, 'note')
        self.note = quiet.start()
        self.addCleanup(quiet.stop)
        self.zones = zones.Zones()

    async def test_an_order_that_was_taken_back_does_not_come_again(self):
        """Operators take a zone back; a datagram from before arrives after.

        Taken in, it would keep a third of the upstreams idle for good.
        """
        on, off = zones.Drain('a', at(5), True), zones.Drain('a', at(9), False)
        self.zones.apply_newer([on])
        self.zones.apply_newer([off])
        self.zones.apply_newer([on])
        self.assertFalse(self.zones.is_drained('a'))

    async def test_an_order_that_stands_is_not_lost_by_an_old_answer(self):
        """A read of all orders was sent before one, and is answered after.

        The order isn't in it. Forgotten, the zone would get new work.
        """
        self.zones.apply_newer([zones.Drain('a', at(9), True)])
        self.zones.replace([], at(7))
        self.assertTrue(self.zones.is_drained('a'))
        self.zones.replace([], at(9))
        self.assertFalse(self.zones.is_drained('a'))

    async def test_a_run_may_still_go_on_where_it_was_copied_to(self):
        """A run has been stopped to move to a zone, and that zone is drained.

        Sent nowhere, it would be lost, though its memory is there already.
        """
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, 'time') as time:
            time.return_value = 100.0
            self.zones.apply_newer([zones.Drain('a', at(1), True)])
            time.return_value += zones.CONTINUE_GRACE_S / 2
            self.assertTrue(self.zones.accepts_runs('a'))
            time.return_value += zones.CONTINUE_GRACE_S
            self.assertFalse(self.zones.accepts_runs('a'))
        self.assertTrue(self.zones.accepts_runs('b'))

    async def test_orders_stay_bounded(self):
        """A writer leaves orders for ten thousand names."""
        for number in range(10_000):
            self.zones.apply_newer(
                [zones.Drain(f'z{number}', at(number + 1), True)]
            )
        self.assertEqual(len(self.zones.drains), zones.MAX_DRAINS)
        self.zones.replace([], at(10_001))
        self.zones.apply_newer([zones.Drain('a', at(10_002), True)])
        self.assertTrue(self.zones.is_drained('a'))
        self.assertEqual(len(self.zones.drains), zones.MAX_DRAINS)

    async def test_a_version_that_never_was_can_be_dropped(self):
        self.zones.apply_newer([zones.Drain('a', at(2**50), True)])
        self.zones.override_newer((), at(10))
        self.assertFalse(self.zones.is_drained('a'))
        self.zones.apply_newer([zones.Drain('a', at(11), True)])
        self.assertTrue(self.zones.is_drained('a'))

    async def test_an_order_of_an_epoch_that_is_over_is_told_late(self):
        """A gateway that was cut off for long tells of an order it still holds.

        The source has come back without it, and all others know that it is off;
        one that has started since would take it for news.
        """
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, 'time') as time:
            time.return_value = 100.0
            self.zones.enter_epoch(revision.Revision(2, 5))
            self.zones.apply_newer(
                [zones.Drain('a', revision.Revision(1, 90), True)]
            )
            self.assertTrue(self.zones.is_drained('a'), 'it may be written yet')
            time.return_value += zones.LAPSE_GRACE_S
            self.zones.apply_newer(
                [zones.Drain('b', revision.Revision(1, 91), True)]
            )
            self.assertFalse(self.zones.is_drained('b'))
            self.zones.apply_newer(
                [zones.Drain('b', revision.Revision(2, 1), True)]
            )
            self.assertTrue(self.zones.is_drained('b'))

    async def test_an_order_of_a_later_epoch_counts_though_its_version_is_less(
        self,
    ):
        self.zones.apply_newer(
            [zones.Drain('a', revision.Revision(1, 90), True)]
        )
        self.zones.apply_newer(
            [zones.Drain('a', revision.Revision(2, 3), False)]
        )
        self.assertFalse(self.zones.is_drained('a'))
        self.zones.apply_newer(
            [zones.Drain('a', revision.Revision(1, 95), True)]
        )
        self.assertFalse(self.zones.is_drained('a'))

    async def test_it_is_logged_once_a_change(self):
        for _ in range(3):
            self.zones.apply_newer([zones.Drain('a', at(5), True)])
        self.zones.apply_newer([zones.Drain('a', at(6), True)])
        self.zones.replace([], at(7))
        told = [call.args[0] for call in self.note.call_args_list]
        self.assertEqual([one.is_on for one in told], [True, False])

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(HISTORY, st.randoms(use_true_random=False), st.data())
    def test_whatever_the_order_the_newest_counts(self, history, rng, data):
        """Each change by datagram or by a whole read, shuffled, some lost.

        What the last change says is told in the end, as each gateway does.
        """
        steps = [
            zones.Drain(name, at(version), is_on)
            for version, (name, is_on) in enumerate(history, 1)
        ]
        told = [data.draw(st.sampled_from(steps)) for _ in range(8)]
        rng.shuffle(told)

        async def work():
            known = zones.Zones()
            for step in told:
                if data.draw(st.booleans()):
                    known.apply_newer([step])
                else:
                    orders = stands(steps, step.revision.version)
                    known.replace(orders, step.revision)
            known.apply_newer(newest(steps, len(steps)))
            return {name for name in NAMES if known.is_drained(name)}

        wanted = {step.zone for step in stands(steps, len(steps))}
        self.assertEqual(clock.run(work), wanted)


class UpstreamsOfZonesTest(unittest.IsolatedAsyncioTestCase):
    """Upstreams in two zones of two regions."""

    async def asyncSetUp(self):
        quiet = mock.patch.object(event, 'note')
        quiet.start()
        self.addCleanup(quiet.stop)
        self.upstreams = upstream.Upstreams({'a': 'north', 'b': 'south'})
        for number, zone in enumerate('aab'):
            found = upstream.Upstream(
                f'u-{number}', 's', ('10.0.0.1', number + 1), zone
            )
            self.upstreams.put(found, at(1))

    def ids(self, regions=None):
        return [found.id for found in self.upstreams.available('s', regions)]

    async def test_a_drained_zone_gets_nothing_until_it_is_taken_back(self):
        self.upstreams.zones.apply_newer([zones.Drain('a', at(2), True)])
        self.assertEqual(self.ids(), ['u-2'])
        self.upstreams.zones.apply_newer([zones.Drain('b', at(3), True)])
        self.assertEqual(self.ids(), [])
        self.upstreams.zones.apply_newer([zones.Drain('a', at(4), False)])
        self.assertEqual(self.ids(), ['u-0', 'u-1'])

    async def test_work_that_is_bound_to_regions_stays_there(self):
        self.assertEqual(self.ids(frozenset(('south',))), ['u-2'])
        self.assertEqual(self.ids(frozenset(('west',))), [])
        stray = upstream.Upstream('u-9', 's', ('10.0.0.9', 1), 'unlisted')
        self.upstreams.put(stray, at(2))
        self.assertNotIn('u-9', self.ids(frozenset(('north', 'south'))))
        self.assertIn('u-9', self.ids())

    async def test_an_upstream_is_cold_for_as_long_as_it_says(self):
        """It starts, and may grow cold again at any moment."""

        def entry(warmup_s):
            address = ('10.0.0.1', 1)
            return upstream.Upstream(
                'u-0', 's', address, 'a', warmup_s=warmup_s
            )

        loop = asyncio.get_running_loop()
        known = self.upstreams.get('u-0')
        with mock.patch.object(loop, 'time') as time:
            time.return_value = 100.0
            self.upstreams.put(entry(2.0), at(2))
            self.assertEqual(known.cold_until_s, 102.0)
            time.return_value = 102.0
            self.upstreams.put(entry(5.0), at(3))
            self.assertEqual(known.cold_until_s, 107.0)
            self.upstreams.put(entry(0.0), at(4))
            self.assertLess(known.cold_until_s, 102.0)


def stands(steps, version):
    """Returns the orders that stand at a version."""
    return [step for step in newest(steps, version) if step.is_on]


def newest(steps, version):
    """Returns the newest order for each zone at a version."""
    found = {step.zone: step for step in steps if step.revision <= at(version)}
    return list(found.values())


class DrillTest(unittest.TestCase):
    """Orders of an epoch that has ended."""

    def setUp(self):
        quiet = mock.patch.object(event, 'note')
        quiet.start()
        self.addCleanup(quiet.stop)

    def test_a_further_drill_begins_a_further_wait(self):
        """New work goes to a drained zone five seconds after a second drill.

        The wait of the first drill ends, and operators have not written their
        order again yet, which the second copy lacks too.
        """

        async def work():
            found = zones.Zones()
            found.enter_epoch(revision.Revision(7, 1))
            found.apply_newer([zones.Drain('a', revision.Revision(7, 2), True)])
            found.enter_epoch(revision.Revision(8, 1))
            await asyncio.sleep(zones.LAPSE_GRACE_S / 2)
            found.enter_epoch(revision.Revision(9, 1))
            await asyncio.sleep(zones.LAPSE_GRACE_S - 1.0)
            self.assertTrue(found.is_drained('a'))
            await asyncio.sleep(2.0)
            self.assertFalse(found.is_drained('a'))

        clock.run(work)

    def test_an_order_of_the_epoch_before_is_not_missing(self):
        """It stands for a while, and whoever has the new list is followed.

        Left out, the news of all others would have each gateway ask itself.
        """

        async def work():
            found = zones.Zones()
            found.apply_newer([zones.Drain('a', revision.Revision(7, 2), True)])
            self.assertFalse(
                found.has_unlisted_drain((), revision.Revision(8, 1))
            )
            self.assertTrue(
                found.has_unlisted_drain((), revision.Revision(7, 3))
            )

        clock.run(work)


if __name__ == '__main__':
    unittest.main()
