"""Membership changes and which upstreams get new work."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway.balance import upstream_stats
from quetzalsill_gateway.fleet import revision, shutdown_notices, upstream


def at(version):
    """Returns a revision of a source that reports no epochs."""
    return revision.Revision(0, version)


def entry(name='u-1', port=80, **more):
    return upstream.Upstream(name, 's', ('10.0.0.1', port), 'z', **more)


def written(*found):
    """Returns the changes that wrote the given entries."""
    return [upstream.Change(one.id, at(1), one) for one in found]


class UpstreamsTest(unittest.IsolatedAsyncioTestCase):
    """Entries are added, changed and removed."""

    async def asyncSetUp(self):
        self.upstreams = upstream.Upstreams()
        self.left = []
        self.upstreams.on_leaving(lambda found: self.left.append(found.id))

    def ids(self):
        return [found.id for found in self.upstreams.available('s')]

    async def test_leaving_is_notified_once_and_is_final(self):
        self.upstreams.put(entry(), at(1))
        self.upstreams.put(entry(leaving=True), at(2))
        self.upstreams.put(entry(leaving=True), at(3))
        self.upstreams.put(entry(), at(4))
        self.assertEqual((self.ids(), self.left), ([], ['u-1']))
        self.upstreams.remove('u-1', at(5))
        self.assertEqual(self.left, ['u-1'])

    async def test_full_list_removes_unlisted_upstreams(self):
        self.upstreams.replace(written(entry('u-1'), entry('u-2', 81)), at(1))
        self.upstreams.replace(written(entry('u-2', 81)), at(2))
        self.assertEqual((self.ids(), self.left), (['u-2'], ['u-1']))

    async def test_reading_an_entry_again_does_not_restart_warmup(self):
        """The membership is listed again after a server has warmed up.

        The warm-up time in its entry must not start a second time.
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

    async def test_restarted_upstream_is_another_upstream(self):
        """An engine crashes and restarts with the same id and address.

        Its memory is empty, so nothing recorded about the previous incarnation
        applies, including a notice that it is leaving.
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

    async def test_response_of_another_incarnation_is_rejected(self):
        """An engine has restarted during an outage of the store."""
        self.upstreams.put(entry(incarnation=20), at(1))
        known = self.upstreams.get('u-1')
        confirm = self.upstreams.verify_incarnation
        self.assertTrue(confirm(known, 0), 'incarnation not reported')
        self.assertTrue(confirm(known, 20))
        self.assertFalse(confirm(known, 10))
        self.assertFalse(known.removed)
        self.assertFalse(confirm(known, 30))
        self.assertTrue(known.removed)
        self.assertEqual(self.ids(), [])

    async def test_late_entry_of_an_older_incarnation_changes_nothing(self):
        self.upstreams.put(entry(incarnation=20), at(2))
        new = self.upstreams.get('u-1')
        self.upstreams.put(entry(incarnation=10, leaving=True), at(3))
        self.assertIs(self.upstreams.get('u-1'), new)
        self.assertFalse(new.leaving)

    async def test_entry_without_incarnation_is_not_the_servers(self):
        """An entry lacks the incarnation that its server reports."""
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

    async def test_notice_of_a_peer_is_applied(self):
        """The store refuses this host and serves another.

        Only the other host receives an upstream's notice and publishes it.
        """
        self.upstreams.put(entry(), at(1))
        self.upstreams.receive_leaving(['u-1', 'u-unknown'], 'entry-2')
        self.assertEqual((self.ids(), self.left), ([], ['u-1']))

    async def test_lapsed_entries_are_kept_for_the_grace_period(self):
        self.upstreams.put(entry(), at(1))
        self.upstreams.start_lapse_grace()
        self.upstreams.remove('u-1', at(2))
        self.assertEqual(self.ids(), ['u-1'])
        self.upstreams._drop_lapsed()
        self.assertEqual(self.ids(), ['u-1'], 'too early')
        self.upstreams._lapse_grace_until_s = 0.001
        self.upstreams._drop_lapsed()
        self.assertEqual(self.ids(), [])

    async def test_lapse_is_notified_once(self):
        """Each list that lacks an entry must not cause another request."""
        lapsed = []
        self.upstreams.on_lapsed(lapsed.append)
        self.upstreams.put(entry(), at(1))
        known = self.upstreams.get('u-1')
        self.upstreams.start_lapse_grace()
        self.upstreams.replace([], at(2))
        self.upstreams.replace([], at(3))
        self.assertEqual(lapsed, [known])
        self.assertTrue(self.upstreams.is_lapsed(known))
        self.upstreams.put(entry(), at(4))
        self.assertFalse(self.upstreams.is_lapsed(known))
        self.assertEqual(self.ids(), ['u-1'])


class ReturnedTest(unittest.IsolatedAsyncioTestCase):
    """The entry of a live upstream is removed and written again.

    Gateways publish removed upstreams for some seconds, and once marked a live
    engine as leaving for good in all of them.
    """

    async def asyncSetUp(self):
        self.upstreams = upstream.Upstreams()
        self.upstreams.put(entry(incarnation=7), at(1))
        self.key = self.upstreams.get('u-1').key

    def ids(self):
        return [found.id for found in self.upstreams.available('s')]

    async def test_removal_is_published_no_longer(self):
        self.upstreams.remove('u-1', at(2))
        self.assertEqual(self.upstreams.leaving_keys(), (self.key,))
        self.upstreams.put(entry(incarnation=7), at(3))
        self.assertEqual(self.upstreams.leaving_keys(), ())

    async def test_peer_that_publishes_the_removal_late(self):
        self.upstreams.remove('u-1', at(2))
        self.upstreams.put(entry(incarnation=7), at(3))
        self.upstreams.receive_leaving([self.key], 'entry-2')
        self.assertEqual(self.ids(), ['u-1'])

    async def test_peer_has_seen_the_removal_first(self):
        """Only the peer has seen the removal; both changes come as one here."""
        self.upstreams.receive_leaving([self.key], 'entry-2')
        self.assertEqual(self.ids(), [])
        self.upstreams.put(entry(incarnation=7), at(1))
        self.assertEqual(self.ids(), [], 'an older entry')
        self.upstreams.put(entry(incarnation=7), revision.Revision(1, 1))
        self.assertEqual(self.ids(), [], 'an entry of a restored copy')
        self.upstreams.revision = at(1)
        self.upstreams.put(entry(incarnation=7), at(3))
        self.assertEqual(self.ids(), ['u-1'])

    async def test_notice_counts_all_the_same(self):
        """The engine is back, and then leaves."""
        self.upstreams.remove('u-1', at(2))
        self.upstreams.put(entry(incarnation=7), at(3))
        notice = shutdown_notices.Notice(self.key, 0.0)
        self.upstreams.receive_notices(
            shutdown_notices.NoticeUpdate((notice,), 'entry-2')
        )
        self.upstreams.put(entry(incarnation=7), at(4))
        self.assertEqual(self.ids(), [])


class SuspectEndedTest(unittest.TestCase):
    """A restored copy lists entries of upstreams that have ended."""

    def ids(self, upstreams):
        return [found.id for found in upstreams.available('s')]

    def play(self, between):
        """Restores the same copy twice, two seconds apart.

        Args:
          between: Called with the upstreams between the two.
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
            between(upstreams)
            await asyncio.sleep(1.0)
            upstreams.suspect_ended(copy)
            upstreams.replace(copy, revision.Revision(2, 1))
            await asyncio.sleep(upstream.LAPSE_GRACE_S - 0.2)
            self.assertEqual(self.ids(upstreams), [])

        clock.run(work)

    def test_second_drill_extends_the_suspicion(self):
        """Requests must not go to a server that has ended.

        Two drills come within three seconds. The second restarts the removal
        of old entries, so the grace period of the first is too short.
        """
        self.play(lambda _: None)

    def test_end_of_one_suspicion_does_not_end_the_next(self):
        """The same, with the entry removed between the two drills."""
        self.play(
            lambda found: found.remove('u-1', at(3), may_have_lapsed=False)
        )


if __name__ == '__main__':
    unittest.main()
