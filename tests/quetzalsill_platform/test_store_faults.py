"""Tests of a gateway's state while the platform's store misbehaves."""

from __future__ import annotations

import unittest
from unittest import mock

from quetzalsill_dev.users_platform import http_server
from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import upstream as upstream_lib
from tests.quetzalsill_platform import fixture


class ConfigurationTest(fixture.GatewayTestCase):
    """Which version of the configuration is active."""

    def version(self):
        return self.process.core.holder.current.version

    async def wait_until_version(self, version):
        await self.wait_until(lambda: self.version() == version)

    async def test_a_change_is_in_force_soon_and_never_reverts(self):
        """An older version is written after a newer one.

        Reverting to it would serve a route and a key that operators removed.
        """
        routes = [fixture.route('new', '/new/', 'safe', 'desk')]
        accounts = [{'name': 'first', 'apiKeys': ['key-2']}]
        self.store.put(
            'op', 'config', fixture.configuration(9, routes, accounts)
        )
        await self.wait_until_version(9)
        self.store.put('op', 'config', fixture.configuration(6))
        self.store.put('op', 'other', {'not': 'a configuration'})
        response = await self.request('/new/', key='key-2')
        self.assertEqual(response.status, 200)
        self.assertEqual(
            (await self.request('/safe/', key='key-2')).status, 404
        )
        self.assertEqual((await self.request('/new/', key='key-1')).status, 401)
        self.assertEqual(self.version(), 9)

    async def test_an_invalid_configuration_is_ignored(self):
        """A field is missing: the previous configuration stays active."""
        broken = fixture.configuration(7)
        del broken['routes'][0]['routeType']
        self.addCleanup(broken['routes'][0].update, {'routeType': 'safe'})
        with mock.patch.object(event, 'note') as note:
            self.store.put('op', 'config', broken)
            await self.wait_until(lambda: note.called)
        [[logged]] = [call.args for call in note.call_args_list]
        self.assertIsInstance(logged, event.ConfigurationInvalid)
        self.assertIn('routeType', logged.reason)
        self.assertIn('stays active', logged.advice)
        self.assertEqual(self.version(), 5)

    async def test_dropped_history_is_recovered_from(self):
        self.store.compact()
        self.store.put('op', 'config', fixture.configuration(11))
        await self.wait_until_version(11)

    async def test_the_newest_state_serves_through_an_outage(self):
        for down in ('busy', 'silent'):
            with self.subTest(down):
                self.store.down = down
                self.assertEqual((await self.request('/safe/')).status, 200)
                self.assertTrue(self.process.is_ready())
                self.store.down = ''

    async def test_a_gateway_without_configuration_refuses_as_not_run(self):
        """A gateway starts while the store is down.

        It is not ready, and refuses requests as not run with a Retry-After
        header. It serves once the store is back.
        """
        self.store.down = 'busy'
        self.process = await self.start_gateway(wait=False)
        response = await self.request('/unsafe/')
        self.assertEqual(response.status, 503)
        self.assertIn('retry-after', response.headers)
        self.assertFalse(self.process.is_ready())
        self.store.down = ''
        await self.wait_until(self.process.is_ready)


class MembershipTest(fixture.GatewayTestCase):
    """Which upstreams the gateway uses."""

    def available_ids(self, service='desk'):
        available = self.process.core.upstreams.available(service)
        return {upstream.id for upstream in available}

    async def test_a_draining_upstream_gets_nothing_new(self):
        server = self.http_servers[0]
        self.store.put(
            'servers', server.id, server.entry('desk', 'zone-a', 'draining')
        )
        await self.wait_until(lambda: self.available_ids() == {'desk-2'})
        for _ in range(8):
            self.assertEqual((await self.request('/safe/')).status, 200)
        self.assertEqual(server.runs, [])

    async def test_bytes_that_cannot_be_read_hide_no_other_entry(self):
        """Another writer stores invalid bytes under the id of a live server.

        If they failed the whole response, they would hide all changes of all
        other servers for as long as they are stored.
        """
        for raw in (b'\xff\x00', b'{', b'7', b'[' * 5000, b'null'):
            self.store._put_row('servers', 'desk-1', raw)
            await self.wait_until(lambda: self.available_ids() == {'desk-2'})
            self.assertEqual((await self.request('/safe/')).status, 200)
            server = self.http_servers[0]
            self.store.put('servers', server.id, server.entry('desk', 'zone-a'))
            await self.wait_until(
                lambda: self.available_ids() == {'desk-1', 'desk-2'}
            )

    async def test_a_server_that_starts_again_under_its_id_serves(self):
        """A server drains, then starts again with its id and address.

        The drain belongs to the previous incarnation; applied to the new one,
        it would keep all requests from it.
        """
        server = self.http_servers[0]
        draining_entry = server.entry('desk', 'zone-a', 'draining') | {
            'born': 1000
        }
        self.store.put('servers', server.id, draining_entry)
        await self.wait_until(lambda: self.available_ids() == {'desk-2'})
        restarted_entry = server.entry('desk', 'zone-a') | {'born': 2000}
        self.store.put('servers', server.id, restarted_entry)
        await self.wait_until(
            lambda: self.available_ids() == {'desk-1', 'desk-2'}
        )
        self.store.put('servers', server.id, draining_entry)
        self.store.put('servers', 'marker', draining_entry | {'born': 1})
        upstreams = self.process.core.upstreams
        await self.wait_until(lambda: upstreams.get('marker') is not None)
        self.assertEqual(self.available_ids(), {'desk-1', 'desk-2'})

    async def test_a_removed_upstream_gets_nothing_new(self):
        self.store.remove('servers', 'desk-2')
        await self.wait_until(lambda: self.available_ids() == {'desk-1'})

    async def test_lapsed_entries_that_come_back_are_kept(self):
        """All entries expire while the store is down.

        The servers are alive and register again within two seconds of its
        return. If the expiry took effect at once, no server would be left.
        """
        self.store.down = 'busy'
        await self.wait_until(lambda: self.process.core.health.is_down)
        for server in self.http_servers:
            self.store.remove('servers', server.id)
        self.store.down = ''
        await self.wait_until(lambda: not self.process.core.health.is_down)
        self.assertEqual((await self.request('/safe/')).status, 200)
        server = self.http_servers[0]
        self.store.put('servers', server.id, server.entry('desk', 'zone-a'))
        await self.wait_until(lambda: self.available_ids() == {'desk-1'})

    async def test_an_address_used_again_runs_nothing(self):
        """A server stops, and its address is reused by another service.

        The gateway still has the old entry. The new server rejects requests for
        an id that is not its own, and they are sent elsewhere.
        """
        other_server = http_server.HttpServer('stranger')
        await other_server.start()
        self.addAsyncCleanup(other_server.server.stop)
        entry = other_server.entry('desk', 'zone-a')
        self.store.remove('servers', 'desk-1')
        self.store.put('servers', 'desk-old', entry)
        await self.wait_until(
            lambda: self.available_ids() == {'desk-2', 'desk-old'}
        )
        for _ in range(8):
            self.assertEqual((await self.request('/unsafe/')).status, 200)
        self.assertEqual(other_server.runs, [])

    async def test_an_invalid_entry_is_ignored(self):
        self.store.put('servers', 'odd', {'service': 'desk'})
        self.store.put('servers', 'odd-2', {'service': 'desk', 'address': 'x'})
        server = self.http_servers[0]
        self.store.put('servers', 'desk-3', server.entry('desk', 'zone-a'))
        await self.wait_until(lambda: 'desk-3' in self.available_ids())
        self.assertNotIn('odd', self.available_ids())

    def test_the_wait_for_lapsed_entries_fits_the_platforms_two_seconds(self):
        self.assertGreater(upstream_lib.LAPSE_GRACE_S, 2.0)


if __name__ == '__main__':
    unittest.main()
