"""Which upstreams may continue a stream."""

from __future__ import annotations

import asyncio
import math
import unittest

from quetzalsill_gateway.fleet import (
    revision,
    software_versions,
    stream_origins,
    upstream,
)

LIFETIME_S = 60.0


def make(name, version='v1', service='s', **fields):
    """Returns an upstream of a software version."""
    address = ('10.0.0.1', 1 + len(name))
    return upstream.Upstream(
        name, service, address, 'z', software_version=version, **fields
    )


class SoftwareVersionsTest(unittest.IsolatedAsyncioTestCase):
    """Versions seen by one gateway."""

    async def asyncSetUp(self):
        self.upstreams = upstream.Upstreams()
        self.versions = self.upstreams.versions
        self.versions.refresh((), LIFETIME_S)

    def put(self, *found):
        for one in found:
            self.upstreams.put(one, revision.Revision(0, 1))

    async def test_only_the_same_version_continues(self):
        """A stream continues at another, or at an unknown version."""
        began, same, other = make('a'), make('b'), make('c', 'v2')
        unknown, another = make('d', ''), make('e', '')
        self.put(began, same, other, unknown, another)
        may = self.versions.may_continue
        origin = software_versions.origin_of(began)
        self.assertTrue(may(origin, same))
        for one in (other, unknown, make('f', service='t')):
            self.assertFalse(may(origin, one))
        origin = software_versions.origin_of(unknown)
        self.assertTrue(may(origin, unknown))
        for one in (began, other, another):
            self.assertFalse(may(origin, one))
        self.assertTrue(may(None, other))

    async def test_a_service_without_versions(self):
        """Streams of services that name no versions are never taken up."""
        first, second = make('a', ''), make('b', '')
        self.put(first, second)
        origin = software_versions.origin_of(first)
        self.assertTrue(self.versions.may_continue(origin, second))
        self.versions.mark_complete()
        self.assertIsNotNone(self.versions.only('s'))

    async def test_the_only_version_must_be_certain(self):
        """A gateway that starts takes what serves for all there was."""
        self.put(make('a'))
        self.assertIsNone(self.versions.only('s'))
        self.versions.mark_complete(LIFETIME_S / 2)
        self.assertIsNone(self.versions.only('s'))
        self.versions.mark_complete(LIFETIME_S)
        self.assertEqual(
            self.versions.only('s'), software_versions.Origin('s', 'v1')
        )
        self.versions.mark_isolated()
        self.assertIsNone(self.versions.only('s'))

    async def test_a_version_that_has_left_counts_for_a_lifetime(self):
        """Streams of a version that has just left go on at another."""
        self.put(make('a'))
        self.versions.mark_complete()
        self.versions.record('s', 'v0', LIFETIME_S + 1)
        self.assertIsNotNone(self.versions.only('s'))
        self.versions.record('s', 'v0', LIFETIME_S - 1)
        self.assertIsNone(self.versions.only('s'))
        self.versions.refresh(self.upstreams.all(), LIFETIME_S / 2)
        self.assertEqual(self.versions.names('s'), {'v1'})

    async def test_an_id_that_is_used_again_is_another_process(self):
        """An id keeps the version of its earlier process."""
        first = make('a')
        self.put(first)
        self.put(make('a', 'v2'))
        self.assertTrue(first.removed)
        self.assertEqual(self.upstreams.get('a').software_version, 'v2')

    async def test_a_row_without_its_version_changes_nothing(self):
        """An update of an older gateway makes a known version unknown."""
        self.put(make('a'))
        self.put(make('a', ''))
        self.assertEqual(self.upstreams.get('a').software_version, 'v1')
        self.put(make('bb', ''))
        self.put(make('bb', 'v2'))
        self.assertEqual(self.upstreams.get('bb').software_version, 'v2')

    async def test_versions_are_bounded(self):
        """A faulty writer fills the memory with versions."""
        for number in range(1000):
            self.versions.record('s', f'v{number}')
        self.assertEqual(
            len(self.versions.names('s')), software_versions.MAX_VERSIONS
        )


class StreamOriginsTest(unittest.IsolatedAsyncioTestCase):
    """Origins that one gateway knows."""

    async def asyncSetUp(self):
        self.versions = software_versions.SoftwareVersions()
        self.origins = stream_origins.StreamOrigins(self.versions)
        self.published = []
        self.origins.set_publisher(self.published.extend)
        self.versions.record('s', 'v1')
        self.origin = software_versions.Origin('s', 'v1')

    async def test_published_from_the_second_version_on(self):
        """Origins are published for nothing, or too late."""
        key, second = bytes(12), bytes([1] * 12)
        self.origins.record(key, self.origin, 5.0)
        self.assertEqual(self.published, [])
        self.versions.record('s', 'v2')
        self.assertEqual([one.key for one in self.published], [key])
        self.origins.record(second, self.origin, 5.0)
        self.assertEqual([one.key for one in self.published], [key, second])

    async def test_an_origin_never_changes(self):
        """A second record of a stream names another version."""
        key = stream_origins.compute_key(b'a', b'id')
        self.origins.record(key, self.origin, 5.0)
        other = software_versions.Origin('s', 'v2')
        self.origins.record(key, other, 5.0)
        now = asyncio.get_running_loop().time()
        self.origins.receive(
            stream_origins.OriginUpdate(
                (stream_origins.Record(key, other, now + 9.0),)
            )
        )
        self.assertEqual(self.origins.get(key), self.origin)

    async def test_records_expire(self):
        """Origins of streams that have long ended fill the memory."""
        key = stream_origins.compute_key(None, b'id')
        self.origins.record(key, self.origin, -math.ulp(1.0) - 0.001)
        self.assertIsNone(self.origins.get(key))
        self.origins.expire()
        self.assertEqual(len(self.origins), 0)

    async def test_records_are_bounded(self):
        """A flood of streams fills the memory."""
        for number in range(stream_origins.MAX_RECORDS + 10):
            self.origins.record(number.to_bytes(12), self.origin, 5.0)
        self.assertEqual(len(self.origins), stream_origins.MAX_RECORDS)

    async def test_accounts_have_their_own_streams(self):
        """An account takes up, or replaces, the stream of another."""
        keys = {
            stream_origins.compute_key(account, name)
            for account, name in ((b'a', b'bc'), (b'ab', b'c'), (None, b'abc'))
        }
        self.assertEqual(len(keys), 3)
