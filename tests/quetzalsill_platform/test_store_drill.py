"""Tests of a gateway while its store is restored from an older snapshot."""

from __future__ import annotations

import asyncio
import unittest

from tests.quetzalsill_platform import drill as drill_lib
from tests.quetzalsill_platform import fixture

# Longest time until a zone drain takes effect, in any deployment.
DRAINED_S = 5.0
SLOW_S = 3600.0
# Longer than any test.
NOT_AGED_S = 3600.0
WITHOUT_KEY_1 = [{'name': 'first', 'apiKeys': ['key-2']}]


class FeedTest(drill_lib.DrillTestCase):
    """A change feed that continues from a version that is assigned again."""

    async def test_an_upstream_leaves_under_a_version_given_out_again(self):
        """A draining server keeps getting requests.

        The gateway has read up to version 30; the store is restored to 10, the
        drain is written as 11, and other writes take the counter past 30. A
        feed that continues from 30 reports neither an error nor the drain.
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
        """A server that is registered again never gets a request.

        It was removed at version 31. The store is restored to 10, the server is
        registered as 11, and the counter passes 31 before the next poll.
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
        """As above, but the store responds with 410 to the known version."""
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
        """A key that is revoked during a drill stays valid forever.

        No call fails, as the store is back at once. The configuration is
        written with a version below the one that the gateway has read up to,
        and the watch that waits there never learns of it.
        """
        snapshot = self.store.snapshot()
        self.store.skip(drill_lib.VERSION_GAP)
        await self.wait_for_marker('before')
        self.store.load_snapshot(snapshot)
        document = fixture.configuration(9, accounts=WITHOUT_KEY_1)
        self.store.put('op', 'config', document)
        self.store.skip(2 * drill_lib.VERSION_GAP)
        await self.wait_for_marker('after')
        await self.wait_until(lambda: self.version() == 9)
        self.assertEqual(
            (await self.request('/safe/', key='key-1')).status, 401
        )

    async def test_a_configuration_after_an_outage(self):
        """As above, after an outage that the gateway has noticed."""
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

    async def test_all_watches_use_the_epoch_of_the_store(self):
        """All watches share the store's epoch.

        One response with a new epoch then makes the gateway list every table. A
        watch with its own epoch would wait for a response of its own feed.
        """
        await self.wait_for_marker('spare')
        watches = (self.process.membership, self.process.configuration)
        for watch in watches:
            self.assertEqual(watch._epochs.newest, self.era)


class ZoneTest(drill_lib.DrillTestCase):
    """Zone drains during a restore.

    `desk-1` is in the gateway's own zone, which is the one that is drained. As
    long as it is allowed, the gateway prefers it to `desk-2`, which has a high
    recorded latency.
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
        # `desk-1` stays faster, however long the test's process is paused.
        server_2 = upstreams.get('desk-2')
        stats = self.process.core.stats_table.of(server_2)
        stats.mean_latency_s = SLOW_S
        stats.measured_s = asyncio.get_running_loop().time() + NOT_AGED_S
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
        """A drained zone gets requests for a second during a restore.

        The drain is newer than the snapshot, and operators write it again a
        second after the restore. The restore itself must not cancel the drain.
        """
        snapshot = self.store.snapshot()
        self.drain()
        await self.wait_until_drained()
        drill = self.drill(snapshot, outage_s=0.3, rewrite_s=1.0)
        while not drill.done():
            self.assertEqual(await self.served_by(), {'desk-2'})
        await self.wait_for_marker('after')
        self.assertEqual(await self.served_by(), {'desk-2'})

    async def test_a_drain_that_was_taken_back_is_not_for_ever(self):
        """A zone gets no requests although its drain was cancelled.

        The snapshot holds the drain, and the cancellation is written with a
        reassigned version, below the one that the gateway knows for the drain.
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
        """A zone that is drained just after a restore still gets requests.

        The gateway knows an older drain of the zone with a higher version of
        the previous era.
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
        """A zone that is drained during a restore gets requests forever.

        The store is back before any call fails, and the watch that waits at a
        later version of the previous era does not get the drain.
        """
        snapshot = self.store.snapshot()
        self.store.skip(drill_lib.VERSION_GAP)
        await self.wait_for_marker('before')
        self.store.load_snapshot(snapshot)
        self.drain()
        self.store.skip(2 * drill_lib.VERSION_GAP)
        await self.wait_for_marker('after')
        await asyncio.sleep(DRAINED_S)
        self.assertEqual(await self.served_by(8), {'desk-2'})


class KeyTest(drill_lib.DrillTestCase):
    """A key is revoked shortly before or after the snapshot."""

    async def withdraw(self):
        document = fixture.configuration(6, accounts=WITHOUT_KEY_1)
        self.store.put('op', 'config', document)
        await self.wait_until(lambda: self.version() == 6)

    async def assert_refused_until_done(self, drill):
        """Sends requests with the revoked key until a drill is over."""
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
        """The snapshot holds the newest configuration: nothing changes."""
        await self.withdraw()
        drill = self.drill(self.store.snapshot(), outage_s=0.3, rewrite_s=1.0)
        await self.assert_refused_until_done(drill)

    async def test_withdrawn_just_after_the_copy(self):
        """A revoked key is accepted again until the next configuration.

        The snapshot holds the previous configuration, which must not replace
        the newer one.
        """
        snapshot = self.store.snapshot()
        await self.withdraw()
        drill = self.drill(snapshot, outage_s=0.3, rewrite_s=1.0)
        await self.assert_refused_until_done(drill)
        self.store.put('op', 'config', fixture.configuration(8))
        await self.wait_until(lambda: self.version() == 8)
        self.assertEqual(
            (await self.request('/safe/', key='key-1')).status, drill_lib.OK
        )

    async def test_two_drills_within_three_seconds(self):
        """The second drill starts while rows are rewritten after the first."""
        snapshot = self.store.snapshot()
        await self.withdraw()
        first = self.drill(snapshot, outage_s=0.2, rewrite_s=2.0)
        await asyncio.sleep(1.0)
        second = self.drill(snapshot, down='reset', outage_s=0.2, rewrite_s=1.0)
        await self.assert_refused_until_done(second)
        await first
        await self.wait_for_marker('after')
        self.assertEqual(self.version(), 6)
        self.assertEqual(
            (await self.request('/safe/', key='key-1')).status, 401
        )


class CallerTest(drill_lib.DrillTestCase):
    """Requests during a drill, compared to an outage of the same length."""

    async def failures_during(self, disturbance):
        """Returns the statuses of requests that fail during a disturbance."""
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
                if response.status != drill_lib.OK or not response.complete
            ]
        return failed

    async def outage(self, duration_s):
        self.store.down = 'busy'
        await asyncio.sleep(duration_s)
        self.store.down = ''

    async def register_all_after_snapshot(self):
        """Registers all servers after a snapshot; returns the snapshot."""
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
        drill = self.drill(snapshot, outage_s=0.5, rewrite_s=1.5)
        failed = await self.failures_during(drill)
        self.assertLessEqual(len(failed), len(lost_in_outage), failed)

    async def test_a_snapshot_without_servers_removes_none(self):
        """All servers registered after the snapshot, as after a release.

        They are alive and register again within the two seconds that they have.
        If the snapshot were applied at once, no server would be left.
        """
        snapshot = await self.register_all_after_snapshot()
        drill = self.drill(snapshot, outage_s=0.5, rewrite_s=1.5)
        self.assertEqual(await self.failures_during(drill), [])

    async def test_an_unnoticed_drill_removes_no_server(self):
        """As above, but the store is back before any call fails.

        Waiting watches get responses of the new era: the gateway notices no
        outage after which entries would get time to be registered again.
        """
        snapshot = await self.register_all_after_snapshot()
        drill = self.drill(snapshot, down='', outage_s=0.0, rewrite_s=1.5)
        self.assertEqual(await self.failures_during(drill), [])

    async def test_broken_watches_remove_no_server(self):
        """As above, but the connections of waiting watches are broken."""
        self.store.resets_watches = True
        snapshot = await self.register_all_after_snapshot()
        drill = self.drill(snapshot, down='reset', outage_s=0.1, rewrite_s=1.5)
        self.assertEqual(await self.failures_during(drill), [])

    async def test_an_entry_that_is_missing_in_the_end_is_gone(self):
        """A server stops during the outage and does not register again."""
        snapshot = self.store.snapshot()
        self.register_server(1)
        await self.wait_for_marker('before')
        await self.restore_in_outage(snapshot)
        self.store.remove('servers', 'desk-1')
        self.store.down = ''
        await self.wait_until(lambda: self.known_servers() == {'desk-2'})


if __name__ == '__main__':
    unittest.main()
