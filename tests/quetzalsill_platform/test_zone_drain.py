"""Tests of availability zone drains and region constraints."""

from __future__ import annotations

import unittest

from tests.quetzalsill_platform import fixture

PREFIX = 'x-quetzalsill-'


class ZoneDrainTest(fixture.GatewayTestCase):
    """`desk-1` and `engine-1` are in one zone, all others in another."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.move_to_zone_b(self.http_servers[0], 'desk')
        self.move_to_zone_b(self.engines[0], 'writers')
        upstreams = self.process.core.upstreams
        await self.wait_until(
            lambda: upstreams.get('engine-1').availability_zone == 'zone-b'
        )

    def move_to_zone_b(self, server, service):
        """Registers a server again, in the other zone."""
        self.store.remove('servers', server.id)
        self.store.put('servers', server.id, server.entry(service, 'zone-b'))

    async def drain(self, zone, value=None):
        self.store.put('op', f'evacuate/{zone}', {} if value is None else value)
        zones = self.process.core.upstreams.zones
        await self.wait_until(lambda: zones.is_drained(zone))

    async def served_by(self, target, count=8):
        """Sends a number of requests; returns the ids of the servers."""
        responses = [await self.request(target) for _ in range(count)]
        self.assertEqual({response.status for response in responses}, {200})
        stamps = [
            response.headers[PREFIX + 'server-stamp'] for response in responses
        ]
        return {stamp.partition('.')[0] for stamp in stamps}

    async def test_nothing_new_goes_to_it_until_it_is_taken_back(self):
        await self.drain('zone-b')
        self.assertEqual(await self.served_by('/safe/'), {'desk-2'})
        self.assertEqual(await self.served_by('/unsafe/'), {'desk-2'})
        self.store.remove('op', 'evacuate/zone-b')
        zones = self.process.core.upstreams.zones
        await self.wait_until(lambda: not zones.is_drained('zone-b'))
        self.http_servers[1].scripts = ['hang'] * 2
        self.assertIn('desk-1', await self.served_by('/safe/', 12))

    async def test_a_repeat_does_not_go_there_either(self):
        """The only available server fails; the other zone is drained."""
        await self.drain('zone-b')
        self.http_servers[1].scripts = ['fail']
        response = await self.request('/safe/')
        self.assertEqual(response.status, 500)
        self.assertEqual(self.http_servers[0].runs, [])

    async def test_requests_are_refused_if_all_zones_are_drained(self):
        """No server is available: requests are refused at once.

        The refusal has a Retry-After header; requests that were held until
        their deadlines would get no such information.
        """
        await self.drain('zone-a')
        await self.drain('zone-b')
        for target in ('/unsafe/', '/plan/'):
            response = await self.request(target, deadline_ms=4000)
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.headers['retry-after']), 0)
        self.assertEqual(self.runs, [])

    async def test_runs_that_are_there_go_on(self):
        for replica in self.engines[1:]:
            self.store.remove('servers', replica.id)
        upstreams = self.process.core.upstreams
        await self.wait_until(lambda: len(upstreams.available('writers')) == 1)
        caller = self.caller()
        await caller.open()
        caller.send('/plan/', request_id='p1')
        live = self.process.core.live
        engine = upstreams.get('engine-1')
        await self.wait_until(lambda: live.of(engine))
        await self.drain('zone-b')
        response = await caller.read()
        self.assertEqual((response.status, response.complete), (200, True))

    async def test_the_value_of_a_drain_is_ignored(self):
        """The value may come from any writer; only the key counts."""
        await self.drain('zone-b', value=[7, 'x' * 65_536])
        self.assertEqual(await self.served_by('/safe/', 4), {'desk-2'})

    async def test_an_order_without_a_zone_is_left_out(self):
        """A key without a valid zone name is stored beside a valid one."""
        self.store.put('op', 'evacuate/', {})
        self.store.put('op', 'evacuate/' + 'x' * 201, {})
        await self.drain('zone-b')
        drains = self.process.core.upstreams.zones.drains
        self.assertEqual([response.zone for response in drains], ['zone-b'])

    async def test_a_gateway_that_starts_knows_it_before_it_serves(self):
        await self.drain('zone-b')
        self.process = await self.start_gateway()
        self.assertEqual(await self.served_by('/safe/', 4), {'desk-2'})


class RegionTest(fixture.GatewayTestCase):
    """Requests that are restricted to regions."""

    async def test_a_request_outside_its_regions_is_refused_as_not_run(self):
        """A route allows only a region that has no server.

        Sent elsewhere, data would leave the region that it is restricted to.
        """
        routes = [
            route | {'allowedRegions': ['far']}
            if route['name'] == 'safe'
            else route
            for route in fixture.ROUTES
        ]
        self.store.put('op', 'config', fixture.configuration(6, routes))
        holder = self.process.core.holder
        await self.wait_until(lambda: holder.current.version == 6)
        response = await self.request('/safe/')
        self.assertEqual((response.status, self.runs), (503, []))
        self.assertEqual((await self.request('/unsafe/')).status, 200)

    async def test_account_and_route_both_bind(self):
        accounts = [
            account | {'allowedRegions': ['far']}
            for account in fixture.ACCOUNTS
        ]
        document = fixture.configuration(6, accounts=accounts)
        self.store.put('op', 'config', document)
        holder = self.process.core.holder
        await self.wait_until(lambda: holder.current.version == 6)
        self.assertEqual((await self.request('/unsafe/')).status, 503)


if __name__ == '__main__':
    unittest.main()
