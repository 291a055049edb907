"""Callers that take a stream up at another gateway."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill_dev.users_platform import engine
from quetzalsill_gateway.fleet import upstream
from tests.quetzalsill_platform import fixture

GATEWAYS = 3
EVENTS = 10
BREAK_AT = 4
AT_ONCE_S = 0.2
RESUME = {'Last-Event-Id': str(BREAK_AT)}


class TakenUpTestCase(fixture.GatewayTestCase):
    """Three gateways, and engines of two software versions."""

    versions = ('v1', 'v1', 'v1')
    added = 2

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Each break reaches the caller.
        routes = [
            one | ({'maxAttempts': 1} if one['name'] == 'verdict' else {})
            for one in fixture.ROUTES
        ]
        self.store.put('op', 'config', fixture.configuration(6, routes))
        self.gateways = await self.start_peers(GATEWAYS)
        for number in range(self.added):
            await self.add_engine('v2', number)
        await self.wait_for_engines(len(self.engines))

    async def add_engine(self, version, number):
        one = engine.Engine(self.fleet, f'engine-{version}-{number}')
        one.version = version
        await one.start()
        self.addAsyncCleanup(one.server.stop)
        self.engines.append(one)
        self.register(one)
        return one

    async def wait_for_engines(self, count, gateways=None):
        for one in gateways or self.gateways:
            await self.wait_until(
                lambda g=one: g.core.holder.current.version == 6
            )
            await self.wait_until(
                lambda g=one: (
                    sum(
                        bool(u.software_version) for u in g.core.upstreams.all()
                    )
                    == count
                )
            )

    async def stream(self, gateway, headers=None, **options):
        client = self.caller(gateway)
        async with asyncio.timeout(fixture.WAIT_TIMEOUT_S):
            return await client.request(
                '/verdict/1', method='POST', headers=headers, **options
            )

    def break_streams(self, after):
        for one in self.engines:
            one.abort_after = after

    async def begin(self, gateway, request_id):
        """Returns the version of a stream that breaks after some events."""
        self.break_streams(BREAK_AT)
        response = await self.stream(gateway, request_id=request_id)
        self.break_streams(None)
        self.assertFalse(response.complete)
        return self.versions_of(response)

    def versions_of(self, response):
        return {
            line.rpartition(b'/')[2].decode()
            for line in response.body.split(b'\n')
            if line.startswith(b'data: ')
        }

    def resume(self, request_id, last=BREAK_AT):
        return {'Last-Event-Id': str(last), 'Resumes': request_id}

    def arrivals(self):
        return len(self.fleet.arrivals)

    async def assert_refused(self, gateway, headers, reason, **options):
        before = self.arrivals()
        response = await self.stream(gateway, headers, **options)
        self.assertEqual(response.status, 503, response.body)
        self.assertEqual(response.body.decode().strip(), reason)
        self.assertGreater(float(response.headers['retry-after']), 0.0)
        self.assertEqual(self.arrivals(), before)


class TwoVersionsTest(TakenUpTestCase):
    """Streams of a service with two versions."""

    async def test_goes_on_at_its_version_at_any_gateway(self):
        """A gateway that has not seen the stream takes another version."""
        for number in range(6):
            name = f's{number}'
            first = self.gateways[number % GATEWAYS]
            began = await self.begin(first, name)
            for one in self.gateways:
                response = await self.stream(one, self.resume(name))
                self.assertTrue(response.complete)
                self.assertEqual(self.versions_of(response), began)

    async def test_goes_on_after_its_gateway_has_died(self):
        """Only the gateway that began a stream knew its version."""
        began = await self.begin(self.gateways[0], 's1')
        await self.gateways[0].close()
        for one in self.gateways[1:]:
            response = await self.stream(one, self.resume('s1'))
            self.assertTrue(response.complete)
            self.assertEqual(self.versions_of(response), began)

    async def test_goes_on_at_a_gateway_that_has_restarted(self):
        """A gateway that starts takes any version for a stream of before."""
        began = await self.begin(self.gateways[0], 's1')
        await self.gateways[1].close()
        started = await self.start_gateway(
            wait=False, name='node-1', peers=fixture.ANYWHERE
        )
        response = await self.stream(started, self.resume('s1'))
        self.assertTrue(response.complete)
        self.assertEqual(self.versions_of(response), began)

    async def test_unknown_streams_are_refused(self):
        """What names no known stream goes on at any version."""
        await self.begin(self.gateways[0], 's1')
        one = self.gateways[1]
        for headers in (
            RESUME,
            self.resume(''),
            self.resume('never-seen'),
            self.resume('x' * 8000),
            {'Last-Event-Id': 'four'},
            {'Last-Event-Id': '-1', 'Resumes': 'never-seen'},
        ):
            with self.subTest(headers=str(headers)[:60]):
                await self.assert_refused(one, headers, 'unknown_origin')
        await self.assert_refused(
            one, self.resume('itself'), 'unknown_origin', request_id='itself'
        )
        await self.assert_refused(
            one, self.resume('s1'), 'unknown_origin', key='key-3'
        )
        two = {'Last-Event-Id': '4', 'Resumes': 's1', 'resumes': 's2'}
        await self.assert_refused(one, two, 'unknown_origin')

    async def test_a_caller_without_events_begins_anew(self):
        """A caller that has no event is refused for an unknown version."""
        response = await self.stream(
            self.gateways[0], {'Resumes': 'never-seen'}
        )
        self.assertTrue(response.complete)

    async def test_beyond_the_end(self):
        """The event that the caller has is the last one."""
        began = await self.begin(self.gateways[0], 's1')
        response = await self.stream(
            self.gateways[1], self.resume('s1', EVENTS)
        )
        self.assertEqual((response.status, response.body), (200, b''))
        self.assertEqual(len(began), 1)

    async def test_the_last_engine_of_a_version_has_left(self):
        """A stream that nothing can continue waits until its deadline."""
        [began] = await self.begin(self.gateways[0], 's1')
        for one in self.engines:
            if one.version == began:
                one.leaving = True
                self.register(one)
        for one in self.gateways:
            await self.wait_until(
                lambda g=one: (
                    len(g.core.upstreams.available('writers'))
                    == sum(not e.leaving for e in self.engines)
                )
            )
        loop = asyncio.get_running_loop()
        before_s = loop.time()
        await self.assert_refused(
            self.gateways[1], self.resume('s1'), 'no_upstream_of_version'
        )
        self.assertLess(loop.time() - before_s, AT_ONCE_S)

    async def test_new_streams_avoid_a_version_that_is_about_to_go(self):
        """Streams begin at a version of which nothing will be left."""
        for one in self.engines[:2]:
            one.leaving = True
            self.register(one)
        gateway = self.gateways[0]
        await self.wait_until(
            lambda: len(gateway.core.upstreams.available('writers')) == 3
        )
        # Longer than a version counts as new.
        await asyncio.sleep(1.1)
        for _ in range(10):
            response = await self.stream(gateway)
            self.assertEqual(self.versions_of(response), {'v2'})

    async def test_an_id_that_is_used_again(self):
        """An engine restarts with another version under its id."""
        began = await self.begin(self.gateways[0], 's1')
        self.assertEqual(len(began), 1)
        for one in self.engines:
            one.version = 'v3'
            self.register(one)
        for one in self.gateways:
            await self.wait_until(
                lambda g=one: (
                    {
                        u.software_version
                        for u in g.core.upstreams.available('writers')
                    }
                    == {'v3'}
                )
            )
        await self.assert_refused(
            self.gateways[1], self.resume('s1'), 'no_upstream_of_version'
        )


class RestartTest(TakenUpTestCase):
    """All gateways restart, and one version has left meanwhile."""

    async def test_all_gateways_restart(self):
        """Gateways that see one version take streams of another for its own."""
        [began] = await self.begin(self.gateways[0], 's1')
        await self.wait_until(lambda: self.store.rows('versions'))
        for one in (*self.gateways, self.process):
            await one.close()
        for one in self.engines:
            if one.version == began:
                self.store.remove('servers', one.id)
        started = await self.start_gateway(
            wait=False, name='node-9', peers=fixture.ANYWHERE
        )
        await self.wait_until(started.is_ready)
        await self.assert_refused(started, self.resume('s1'), 'unknown_origin')


class OneVersionTest(TakenUpTestCase):
    """Streams of a service that has had one version only."""

    added = 0

    async def test_unknown_streams_go_on_at_once(self):
        """Streams are refused or wait though any engine may continue them."""
        loop = asyncio.get_running_loop()
        for headers in (RESUME, self.resume('never-seen')):
            before_s = loop.time()
            response = await self.stream(self.gateways[0], headers)
            self.assertTrue(response.complete)
            self.assertLess(
                loop.time() - before_s, AT_ONCE_S + EVENTS * engine.EVENT_S
            )

    async def test_nothing_is_published(self):
        """Gateways send each other datagrams for each stream."""
        await self.begin(self.gateways[0], 's1')
        for one in self.gateways[1:]:
            self.assertEqual(len(one.core.origins), 0)

    async def test_streams_of_before_a_second_version(self):
        """A stream began before its service had a second version."""
        began = await self.begin(self.gateways[0], 's1')
        for number in range(3):
            await self.add_engine('v2', number)
        await self.wait_for_engines(6)
        await self.gateways[0].close()
        response = await self.stream(self.gateways[1], self.resume('s1'))
        self.assertTrue(response.complete)
        self.assertEqual(self.versions_of(response), began)

    async def test_a_version_that_is_unknown_at_a_gateway(self):
        """A gateway that is cut off from the store sees one version only."""
        one = self.gateways[2]
        known = one.core.upstreams
        is_silent = mock.patch.object(
            upstream.Upstreams, 'can_grow', property(lambda u: u is not known)
        )
        is_silent.start()
        self.addCleanup(is_silent.stop)
        self.gateways[0].core.upstreams.versions.record('writers', 'v2')
        await self.assert_refused(
            one, self.resume('never-seen'), 'unknown_origin'
        )


if __name__ == '__main__':
    unittest.main()
