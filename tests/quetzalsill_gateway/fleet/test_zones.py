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
    """Returns a revision of a source that reports no epochs."""
    return revision.Revision(0, version)


class ZonesTest(unittest.IsolatedAsyncioTestCase):
    """Orders that arrive late, twice or out of sequence."""

    async def asyncSetUp(self):
        patcher = mock.patch.object(event, 'note')
        self.note = patcher.start()
        self.addCleanup(patcher.stop)
        self.zones = zones.Zones()

    async def test_withdrawn_order_is_not_restored(self):
        """A stale datagram arrives after an order was withdrawn.

        Applied, it would keep a third of the upstreams idle permanently.
        """
        on, off = zones.Drain('a', at(5), True), zones.Drain('a', at(9), False)
        self.zones.apply_newer([on])
        self.zones.apply_newer([off])
        self.zones.apply_newer([on])
        self.assertFalse(self.zones.is_drained('a'))

    async def test_order_in_force_is_not_removed_by_a_stale_response(self):
        """The response to a read that was sent before an order arrives late.

        It lacks the order; if that were dropped, the zone would get new work.
        """
        self.zones.apply_newer([zones.Drain('a', at(9), True)])
        self.zones.replace([], at(7))
        self.assertTrue(self.zones.is_drained('a'))
        self.zones.replace([], at(9))
        self.assertFalse(self.zones.is_drained('a'))

    async def test_run_may_continue_where_it_was_copied_to(self):
        """A zone is drained after a run was stopped to move there.

        If it could not continue there, the run would be lost, although its
        memory has been copied.
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

    async def test_number_of_orders_is_bounded(self):
        """A faulty writer creates orders for ten thousand zones."""
        for number in range(10_000):
            self.zones.apply_newer(
                [zones.Drain(f'z{number}', at(number + 1), True)]
            )
        self.assertEqual(len(self.zones.drains), zones.MAX_DRAINS)
        self.zones.replace([], at(10_001))
        self.zones.apply_newer([zones.Drain('a', at(10_002), True)])
        self.assertTrue(self.zones.is_drained('a'))
        self.assertEqual(len(self.zones.drains), zones.MAX_DRAINS)

    async def test_order_of_an_impossible_version_can_be_dropped(self):
        self.zones.apply_newer([zones.Drain('a', at(2**50), True)])
        self.zones.override_newer((), at(10))
        self.assertFalse(self.zones.is_drained('a'))
        self.zones.apply_newer([zones.Drain('a', at(11), True)])
        self.assertTrue(self.zones.is_drained('a'))

    async def test_late_order_of_a_past_epoch_is_ignored(self):
        """A gateway sends an old order after a long partition.

        The source was restored without it and all others have dropped it; a
        gateway that has started since would apply it as new.
        """
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, 'time') as time:
            time.return_value = 100.0
            self.zones.enter_epoch(revision.Revision(2, 5))
            self.zones.apply_newer(
                [zones.Drain('a', revision.Revision(1, 90), True)]
            )
            self.assertTrue(
                self.zones.is_drained('a'), 'it may be written again'
            )
            time.return_value += zones.LAPSE_GRACE_S
            self.zones.apply_newer(
                [zones.Drain('b', revision.Revision(1, 91), True)]
            )
            self.assertFalse(self.zones.is_drained('b'))
            self.zones.apply_newer(
                [zones.Drain('b', revision.Revision(2, 1), True)]
            )
            self.assertTrue(self.zones.is_drained('b'))

    async def test_later_epoch_wins_over_higher_version(
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

    async def test_each_change_is_logged_once(self):
        for _ in range(3):
            self.zones.apply_newer([zones.Drain('a', at(5), True)])
        self.zones.apply_newer([zones.Drain('a', at(6), True)])
        self.zones.replace([], at(7))
        logged = [call.args[0] for call in self.note.call_args_list]
        self.assertEqual([one.is_on for one in logged], [True, False])

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(HISTORY, st.randoms(use_true_random=False), st.data())
    def test_newest_order_wins_in_any_sequence(self, history, rng, data):
        """Changes arrive by datagram or full read, shuffled, some lost.

        The newest orders arrive last, as every gateway publishes them.
        """
        steps = [
            zones.Drain(name, at(version), is_on)
            for version, (name, is_on) in enumerate(history, 1)
        ]
        published = [data.draw(st.sampled_from(steps)) for _ in range(8)]
        rng.shuffle(published)

        async def work():
            known = zones.Zones()
            for step in published:
                if data.draw(st.booleans()):
                    known.apply_newer([step])
                else:
                    orders = in_force(steps, step.revision.version)
                    known.replace(orders, step.revision)
            known.apply_newer(newest(steps, len(steps)))
            return {name for name in NAMES if known.is_drained(name)}

        wanted = {step.zone for step in in_force(steps, len(steps))}
        self.assertEqual(clock.run(work), wanted)


class UpstreamsOfZonesTest(unittest.IsolatedAsyncioTestCase):
    """Upstreams in two zones, each in a region of its own."""

    async def asyncSetUp(self):
        patcher = mock.patch.object(event, 'note')
        patcher.start()
        self.addCleanup(patcher.stop)
        self.upstreams = upstream.Upstreams({'a': 'north', 'b': 'south'})
        for number, zone in enumerate('aab'):
            found = upstream.Upstream(
                f'u-{number}', 's', ('10.0.0.1', number + 1), zone
            )
            self.upstreams.put(found, at(1))

    def ids(self, regions=None):
        return [found.id for found in self.upstreams.available('s', regions)]

    async def test_drained_zone_gets_no_work_until_withdrawal(self):
        self.upstreams.zones.apply_newer([zones.Drain('a', at(2), True)])
        self.assertEqual(self.ids(), ['u-2'])
        self.upstreams.zones.apply_newer([zones.Drain('b', at(3), True)])
        self.assertEqual(self.ids(), [])
        self.upstreams.zones.apply_newer([zones.Drain('a', at(4), False)])
        self.assertEqual(self.ids(), ['u-0', 'u-1'])

    async def test_work_stays_in_its_regions(self):
        self.assertEqual(self.ids(frozenset(('south',))), ['u-2'])
        self.assertEqual(self.ids(frozenset(('west',))), [])
        stray = upstream.Upstream('u-9', 's', ('10.0.0.9', 1), 'unlisted')
        self.upstreams.put(stray, at(2))
        self.assertNotIn('u-9', self.ids(frozenset(('north', 'south'))))
        self.assertIn('u-9', self.ids())

    async def test_upstream_is_cold_for_its_warmup_time(self):
        """It starts cold, and may become cold again at any time."""

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


def in_force(steps, version):
    """Returns the orders in force at a version."""
    return [step for step in newest(steps, version) if step.is_on]


def newest(steps, version):
    """Returns the newest order for each zone at a version."""
    found = {step.zone: step for step in steps if step.revision <= at(version)}
    return list(found.values())


class DrillTest(unittest.TestCase):
    """Orders of a past epoch."""

    def setUp(self):
        patcher = mock.patch.object(event, 'note')
        patcher.start()
        self.addCleanup(patcher.stop)

    def test_second_drill_extends_the_grace_period(self):
        """No new work may go to a drained zone soon after a second drill.

        Five seconds after the second drill, the grace period of the first
        ends, and operators have not written their order again yet, which the
        second copy lacks too.
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

    def test_order_of_the_previous_epoch_is_not_unlisted(self):
        """It stays in force for a while, although the new list lacks it.

        Counted as unlisted, it would make every gateway query the source after
        each update of the others.
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
