"""What membership means for new work."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway.balance import upstream_stats
from quetzalsill_gateway.fleet import revision, upstream


def at(version):
    """Returns a revision of a source that tells no epochs."""
    return revision.Revision(0, version)


def entry(name='u-1', port=80, **more):
    return upstream.Upstream(name, 's', ('10.0.0.1', port), 'z', **more)


def written(*found):
    """Returns the changes by which entries were written."""
    return [upstream.Change(one.id, at(1), one) for one in found]


class UpstreamsTest(unittest.IsolatedAsyncioTestCase):
    """Entries come, change and go."""

    async def asyncSetUp(self):
        self.upstreams = upstream.Upstreams()
        self.left = []
        self.upstreams.on_leaving(lambda found: self.left.append(found.id))

    def ids(self):
        return [found.id for found in self.upstreams.available('s')]

    async def test_leaving_is_told_once_and_never_taken_back(self):
        self.upstreams.put(entry(), at(1))
        self.upstreams.put(entry(leaving=True), at(2))
        self.upstreams.put(entry(leaving=True), at(3))
        self.upstreams.put(entry(), at(4))
        self.assertEqual((self.ids(), self.left), ([], ['u-1']))
        self.upstreams.remove('u-1', at(5))
        self.assertEqual(self.left, ['u-1'])

    async def test_a_whole_list_drops_what_is_not_in_it(self):
        self.upstreams.replace(written(entry('u-1'), entry('u-2', 81)), at(1))
        self.upstreams.replace(written(entry('u-2', 81)), at(2))
        self.assertEqual((self.ids(), self.left), (['u-2'], ['u-1']))

    async def test_an_entry_that_is_read_again_makes_no_upstream_cold(self):
        """A table is listed anew, with the entry of a server that is warm now.

        Counted from then, the warm-up that it tells would begin a second time.
        """
        self.upstreams.put(entry(warmup_s=5.0), at(1))
        known = self.upstreams.get('u-1')
        until_s = known.cold_until_s
        await asyncio.sleep(0.01)
        self.upstreams.put(entry(warmup_s=5.0), at(2))
        self.assertEqual(known.cold_until_s, until_s)
        self.upstreams.put(entry(warmup_s=4.0), at(3))
        self.assertNotEqual(known.cold_until_s, until_s)

    async def test_another_address_is_another_upstream(self):
        self.upstreams.put(entry(), at(1))
        old = self.upstreams.get('u-1')
        self.upstreams.put(entry(port=81), at(2))
        self.assertTrue(old.removed)
        self.assertEqual(self.upstreams.available('s')[0].address[1], 81)

    async def test_one_that_starts_again_is_another_upstream(self):
        """An engine crashes and starts again under its id and address.

        What was held, learned or told of it before is not true of it now: its
        memory is empty, and a notice that it leaves was of the one before.
        """
        self.upstreams.put(entry(incarnation=10), at(1))
        old = self.upstreams.get('u-1')
        stats_table = upstream_stats.StatsTable()
        stats_table.of(old).record_failure()
        self.upstreams.put(entry(incarnation=20), at(2))
        new = self.upstreams.get('u-1')
        self.assertTrue(old.removed)
        self.assertFalse(new.leaving)
        self.assertEqual(stats_table.of(new).failures.score, 0.0)
        self.upstreams.receive_leaving((old.key,), 'entry-2')
        self.assertFalse(new.leaving)
        self.upstreams.receive_leaving((new.key,), 'entry-2')
        self.assertTrue(new.leaving)

    async def test_an_answer_of_another_start_is_not_taken(self):
        """The store is away; an engine that is asked has started again."""
        self.upstreams.put(entry(incarnation=20), at(1))
        known = self.upstreams.get('u-1')
        confirm = self.upstreams.verify_incarnation
        self.assertTrue(confirm(known, 0), 'one that tells none')
        self.assertTrue(confirm(known, 20))
        self.assertFalse(confirm(known, 10))
        self.assertFalse(known.removed)
        self.assertFalse(confirm(known, 30))
        self.assertTrue(known.removed)
        self.assertEqual(self.ids(), [])

    async def test_an_older_start_told_late_changes_nothing(self):
        self.upstreams.put(entry(incarnation=20), at(2))
        new = self.upstreams.get('u-1')
        self.upstreams.put(entry(incarnation=10, leaving=True), at(3))
        self.assertIs(self.upstreams.get('u-1'), new)
        self.assertFalse(new.leaving)

    async def test_an_entry_without_a_start_is_not_the_servers(self):
        """A server that tells its starts has an entry that tells none."""
        self.upstreams.put(entry(incarnation=20), at(1))
        self.upstreams.put(entry(), at(2))
        self.assertEqual(self.ids(), [])
        self.upstreams.put(entry(incarnation=20), at(3))
        self.assertEqual(self.ids(), ['u-1'])

    async def test_another_service_under_an_id_is_another_upstream(self):
        self.upstreams.put(entry(), at(1))
        other = entry()
        other.service = 't'
        self.upstreams.put(other, at(2))
        self.assertEqual(self.ids(), [])
        self.assertEqual(self.upstreams.available('t'), [other])

    async def test_a_notice_of_a_peer_counts(self):
        """The store turns this machine away, and serves another.

        An upstream's notice reaches only the other machine, which tells it.
        """
        self.upstreams.put(entry(), at(1))
        self.upstreams.receive_leaving(['u-1', 'u-unknown'], 'entry-2')
        self.assertEqual((self.ids(), self.left), ([], ['u-1']))

    async def test_entries_that_lapsed_in_an_outage_wait(self):
        self.upstreams.put(entry(), at(1))
        self.upstreams.start_lapse_grace()
        self.upstreams.remove('u-1', at(2))
        self.assertEqual(self.ids(), ['u-1'])
        self.upstreams._drop_lapsed()
        self.assertEqual(self.ids(), ['u-1'], 'too early')
        self.upstreams._lapse_grace_until_s = 0.001
        self.upstreams._drop_lapsed()
        self.assertEqual(self.ids(), [])


class DoubtTest(unittest.TestCase):
    """Entries of a copy whose upstreams have ended."""

    def ids(self, upstreams):
        return [found.id for found in upstreams.available('s')]

    def play(self, second):
        """Plays two drills, two seconds apart; their copies have the entry.

        Args:
          second: Called between the two, with the upstreams.
        """

        async def work():
            upstreams = upstream.Upstreams()
            upstreams.put(entry(incarnation=1), at(1))
            upstreams.remove('u-1', at(2))
            copy = written(entry(incarnation=1))
            upstreams.suspect_ended(copy)
            upstreams.replace(copy, revision.Revision(1, 1))
            self.assertEqual(self.ids(upstreams), [])
            await asyncio.sleep(1.0)
            second(upstreams)
            await asyncio.sleep(1.0)
            upstreams.suspect_ended(copy)
            upstreams.replace(copy, revision.Revision(2, 1))
            await asyncio.sleep(upstream.LAPSE_GRACE_S - 0.2)
            self.assertEqual(self.ids(upstreams), [])

        clock.run(work)

    def test_a_further_drill_begins_a_further_doubt(self):
        """Requests go to a server that has ended, and wait for nobody.

        Two drills come within three seconds. Whoever removes entries begins
        anew with the second, and the doubt ends with the grace of the first.
        """
        self.play(lambda _: None)

    def test_the_end_of_a_doubt_is_not_that_of_the_next(self):
        """The same, though the entry was removed between the two drills."""
        self.play(
            lambda found: found.remove('u-1', at(3), may_have_lapsed=False)
        )


if __name__ == '__main__':
    unittest.main()
