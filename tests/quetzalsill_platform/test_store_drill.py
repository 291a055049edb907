"""A gateway while the store comes back from an older copy, under a new era."""

from __future__ import annotations

import asyncio
import unittest

from tests.quetzalsill_platform import drill as drill_lib
from tests.quetzalsill_platform import fixture

# Within this an order to drain a zone is in force, on every deployment.
DRAINED_S = 5.0
SLOW_S = 3600.0
WITHOUT_KEY_1 = [{'name': 'first', 'apiKeys': ['key-2']}]


class FeedTest(drill_lib.DrillTestCase):
    """A feed that is read on from a version given out again."""

    async def test_an_upstream_leaves_under_a_version_given_out_again(self):
        """Requests go on to a server that has said that it leaves.

        The gateway has read up to 30; the store is back with 10, the notice is
        written as 11, and others' writes bring the counter past 30. Read on
        from 30, the feed tells neither an error nor the notice.
        """
        snapshot = self.store.snapshot()
        self.store.skip(drill_lib.VERSION_GAP)
        await self.wait_for_marker('before')
        await self.restore_in_outage(snapshot)
        self.register_server(1, state='draining')
        self.store.skip(2 * drill_lib.VERSION_GAP)
        self.store.down = ''
        await self.wait_for_marker('after')
        await self.wait_until(lambda: self.known_servers() == {'desk-2'})
        self.assertEqual(await self.served_by(8), {'desk-2'})

    async def test_an_upstream_comes_back_under_a_lower_version(self):
        """A server that serves again never gets a request.

        It left at 31. The store is back with 10, it is entered as 11, and the
        counter goes past 31 before the gateway asks again.
        """
        self.store.remove('servers', 'desk-1')
        snapshot = self.store.snapshot()
        self.register_server(1)
        self.store.skip(drill_lib.VERSION_GAP)
        self.store.remove('servers', 'desk-1')
        await self.wait_for_marker('before')
        await self.wait_until(lambda: self.known_servers() == {'desk-2'})
        await self.restore_in_outage(snapshot)
        self.register_server(1)
        self.store.skip(2 * drill_lib.VERSION_GAP)
        self.store.down = ''
        await self.wait_until(
            lambda: self.known_servers() == {'desk-1', 'desk-2'}
        )

    async def test_an_upstream_comes_back_while_the_counter_is_behind(self):
        """As before, but the store answers 410 to the version known here."""
        self.store.remove('servers', 'desk-1')
        snapshot = self.store.snapshot()
        self.register_server(1)
        self.store.skip(drill_lib.VERSION_GAP)
        self.store.remove('servers', 'desk-1')
        await self.wait_for_marker('before')
        await self.wait_until(lambda: self.known_servers() == {'desk-2'})
        await self.restore_in_outage(snapshot)
        self.register_server(1)
        self.store.down = ''
        await self.wait_until(
            lambda: self.known_servers() == {'desk-1', 'desk-2'}
        )

    async def test_a_configuration_under_a_version_given_out_again(self):
        """A key that operators withdraw in a drill is served for ever.

        No call fails, since the store is back at once. The configuration is
        written under a version below the one that the gateway has read to, and
        the watch that waits there is never told that it was passed over.
        """
        snapshot = self.store.snapshot()
        self.store.skip(drill_lib.VERSION_GAP)
        await self.wait_for_marker('before')
        self.store.come_back(snapshot)
        document = fixture.configuration(9, accounts=WITHOUT_KEY_1)
        self.store.put('op', 'config', document)
        self.store.skip(2 * drill_lib.VERSION_GAP)
        await self.wait_for_marker('after')
        await self.wait_until(lambda: self.version() == 9)
        self.assertEqual(
            (await self.request('/safe/', key='key-1')).status, 401
        )

    async def test_a_configuration_after_an_outage(self):
        """As before, after an outage that the gateway has seen."""
        snapshot = self.store.snapshot()
        self.store.skip(drill_lib.VERSION_GAP)
        await self.wait_for_marker('before')
        await self.restore_in_outage(snapshot)
        document = fixture.configuration(9, accounts=WITHOUT_KEY_1)
        self.store.put('op', 'config', document)
        self.store.skip(2 * drill_lib.VERSION_GAP)
        self.store.down = ''
        await self.wait_until(lambda: self.version() == 9)
        self.assertEqual(
            (await self.request('/safe/', key='key-1')).status, 401
        )

    async def test_who_follows_goes_by_the_epoch_of_the_store(self):
        """A drill is seen by one call, and every table is listed for it.

        With an epoch of its own for each, each would wait for its own feed.
        """
        await self.wait_for_marker('spare')
        watches = (self.process.membership, self.process.configuration)
        for watch in watches:
            self.assertEqual(watch._epochs.newest, self.era)


class ZoneTest(drill_lib.DrillTestCase):
    """Drained zones.

    `desk-1` is in the gateway's own zone, which is the one that is drained:
    as long as it may, the gateway sends there before it sends to `desk-2`,
    which is known to answer slowly.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        server = self.http_servers[1]
        self.store.remove('servers', server.id)
        self.store.put('servers', server.id, server.entry('desk', 'zone-b'))
        upstreams = self.process.core.upstreams
        self.zones = upstreams.zones
        await self.wait_until(
            lambda: upstreams.get('desk-2').availability_zone == 'zone-b'
        )
        # However long the test's process is paused, `desk-1` is faster.
        server_2 = upstreams.get('desk-2')
        self.process.core.stats_table.of(server_2).mean_latency_s = SLOW_S
        self.assertEqual(await self.served_by(), {'desk-1'})

    def drain(self):
        self.store.put('op', 'evacuate/zone-a', {})

    def take_back(self):
        self.store.remove('op', 'evacuate/zone-a')

    async def wait_until_drained(self, expected=True):
        await self.wait_until(
            lambda: self.zones.is_drained('zone-a') is expected
        )

    async def test_a_drain_that_the_copy_lacks_holds(self):
        """Requests go to a zone that is drained, for a second of a drill.

        The order came behind the copy; operators write it again a second after
        the store's return, which by itself takes nothing back.
        """
        snapshot = self.store.snapshot()
        self.drain()
        await self.wait_until_drained()
        drill = self.drill(snapshot, away_s=0.3, rewrite_s=1.0)
        while not drill.done():
            self.assertEqual(await self.served_by(), {'desk-2'})
        await self.wait_for_marker('after')
        self.assertEqual(await self.served_by(), {'desk-2'})

    async def test_a_drain_that_was_taken_back_is_not_for_ever(self):
        """A zone stays empty although operators have taken it back.

        The copy holds the order, and its end is written under a version given
        out again, below the one that the gateway knows for it.
        """
        self.drain()
        snapshot = self.store.snapshot()
        await self.wait_until_drained()
        self.store.skip(drill_lib.VERSION_GAP)
        self.take_back()
        await self.wait_until_drained(False)
        await self.restore_in_outage(snapshot)
        self.store.down = ''
        self.take_back()
        await self.wait_for_marker('after')
        await self.wait_until_drained(False)
        self.assertEqual(await self.served_by(), {'desk-1'})

    async def test_an_order_under_a_lower_version_is_in_force_in_time(self):
        """A zone is drained just after a drill, and requests still go there.

        The gateway knows an older order for it under a higher version of the
        era before.
        """
        snapshot = self.store.snapshot()
        self.store.skip(drill_lib.VERSION_GAP)
        self.drain()
        await self.wait_until_drained()
        self.take_back()
        await self.wait_until_drained(False)
        await self.restore_in_outage(snapshot)
        self.store.down = ''
        await self.wait_until(lambda: not self.process.core.health.is_down)
        self.drain()
        await asyncio.sleep(DRAINED_S)
        self.assertEqual(await self.served_by(8), {'desk-2'})

    async def test_an_order_under_a_version_given_out_again(self):
        """A zone is drained in a drill, and requests go there for ever.

        The store is back before any call has failed, and the watch that waits
        at a later version of the era before is not told the order.
        """
        snapshot = self.store.snapshot()
        self.store.skip(drill_lib.VERSION_GAP)
        await self.wait_for_marker('before')
        self.store.come_back(snapshot)
        self.drain()
        self.store.skip(2 * drill_lib.VERSION_GAP)
        await self.wait_for_marker('after')
        await asyncio.sleep(DRAINED_S)
        self.assertEqual(await self.served_by(8), {'desk-2'})


class KeyTest(drill_lib.DrillTestCase):
    """A key is withdrawn around the moment of the copy."""

    async def withdraw(self):
        document = fixture.configuration(6, accounts=WITHOUT_KEY_1)
        self.store.put('op', 'config', document)
        await self.wait_until(lambda: self.version() == 6)

    async def assert_refused_until_done(self, drill):
        """Asks with the withdrawn key until a drill is over."""
        while not drill.done():
            response = await self.request('/safe/', key='key-1')
            self.assertEqual(response.status, 401)
            self.assertEqual(await self.other_key(), drill_lib.OK)
        self.assertEqual(
            (await self.request('/safe/', key='key-1')).status, 401
        )

    async def other_key(self):
        return (await self.request('/safe/', key='key-2')).status

    async def test_withdrawn_just_before_the_copy(self):
        """The copy holds the newest configuration: nothing changes."""
        await self.withdraw()
        drill = self.drill(self.store.snapshot(), away_s=0.3, rewrite_s=1.0)
        await self.assert_refused_until_done(drill)

    async def test_withdrawn_just_after_the_copy(self):
        """A withdrawn key is served again, until operators write once more.

        The copy holds the configuration before, which reverts nothing.
        """
        snapshot = self.store.snapshot()
        await self.withdraw()
        drill = self.drill(snapshot, away_s=0.3, rewrite_s=1.0)
        await self.assert_refused_until_done(drill)
        self.store.put('op', 'config', fixture.configuration(8))
        await self.wait_until(lambda: self.version() == 8)
        self.assertEqual(
            (await self.request('/safe/', key='key-1')).status, drill_lib.OK
        )

    async def test_two_drills_within_three_seconds(self):
        """The second comes while rows are still written again for the first."""
        snapshot = self.store.snapshot()
        await self.withdraw()
        first = self.drill(snapshot, away_s=0.2, rewrite_s=2.0)
        await asyncio.sleep(1.0)
        second = self.drill(snapshot, down='reset', away_s=0.2, rewrite_s=1.0)
        await self.assert_refused_until_done(second)
        await first
        await self.wait_for_marker('after')
        self.assertEqual(self.version(), 6)
        self.assertEqual(
            (await self.request('/safe/', key='key-1')).status, 401
        )


class CallerTest(drill_lib.DrillTestCase):
    """Callers through a drill, beside an outage that is as long."""

    async def failures_during(self, disturbance):
        """Returns statuses of requests that fail until a trouble is over."""
        failed = []
        while not disturbance.done():
            responses = await asyncio.gather(
                self.request('/safe/', deadline_ms=2000),
                self.request('/unsafe/', method='POST', deadline_ms=2000),
                self.request('/plan/', method='POST', deadline_ms=2000),
            )
            failed += [
                response.status
                for response in responses
                if response.status != drill_lib.OK or not response.whole
            ]
        return failed

    async def outage(self, duration_s):
        self.store.down = 'busy'
        await asyncio.sleep(duration_s)
        self.store.down = ''

    async def register_all_after_snapshot(self):
        """Returns a copy without any entry; all are entered, and known."""
        for server in (*self.http_servers, *self.engines):
            self.store.remove('servers', server.id)
        snapshot = self.store.snapshot()
        self.register_server(1)
        self.register_server(2)
        for replica in self.engines:
            self.register(replica)
        await self.wait_for_marker('entered')
        upstreams = self.process.core.upstreams
        await self.wait_until(lambda: len(upstreams.available('writers')) == 3)
        await self.wait_until(lambda: len(upstreams.available('desk')) == 2)
        return snapshot

    async def test_a_drill_fails_no_more_than_an_outage(self):
        snapshot = self.store.snapshot()
        await self.wait_for_marker('before')
        outage = asyncio.create_task(self.outage(0.5))
        lost_in_outage = await self.failures_during(outage)
        await self.wait_until(lambda: not self.process.core.health.is_down)
        drill = self.drill(snapshot, away_s=0.5, rewrite_s=1.5)
        failed = await self.failures_during(drill)
        self.assertLessEqual(len(failed), len(lost_in_outage), failed)

    async def test_a_copy_without_any_server_takes_nobody_out(self):
        """All servers were entered behind the copy, as after a release.

        They live and enter themselves again within the two seconds that they
        have. Taken at its word, the copy leaves nobody to serve.
        """
        snapshot = await self.register_all_after_snapshot()
        drill = self.drill(snapshot, away_s=0.5, rewrite_s=1.5)
        self.assertEqual(await self.failures_during(drill), [])

    async def test_a_drill_that_nobody_sees_takes_nobody_out(self):
        """As before, but the store is back before any call has failed.

        Watches that waited are answered under the new era: the gateway has
        seen no outage after which entries get time to come back.
        """
        snapshot = await self.register_all_after_snapshot()
        drill = self.drill(snapshot, down='', away_s=0.0, rewrite_s=1.5)
        self.assertEqual(await self.failures_during(drill), [])

    async def test_watches_that_are_cut_take_nobody_out(self):
        """As before, but watches that waited are broken off."""
        self.store.cuts_watches = True
        snapshot = await self.register_all_after_snapshot()
        drill = self.drill(snapshot, down='reset', away_s=0.1, rewrite_s=1.5)
        self.assertEqual(await self.failures_during(drill), [])

    async def test_an_entry_that_is_missing_in_the_end_is_gone(self):
        """A server ends while the store is away; nobody enters it again."""
        snapshot = self.store.snapshot()
        self.register_server(1)
        await self.wait_for_marker('before')
        await self.restore_in_outage(snapshot)
        self.store.remove('servers', 'desk-1')
        self.store.down = ''
        await self.wait_until(lambda: self.known_servers() == {'desk-2'})


if __name__ == '__main__':
    unittest.main()
