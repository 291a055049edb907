"""Streams taken up after all gateways have ended at the same moment."""

from __future__ import annotations

import json
import random
import unittest

from tests.quetzalsill_platform import fixture, test_taken_up_streams

GONE = 40


class StoredVersionsTestCase(test_taken_up_streams.TakenUpTestCase):
    """Three gateways, which all restart at once, and engines of one version."""

    added = 0

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # A gateway without peers would store everything by itself.
        await self.process.close()

    async def begin_streams(self, count=3):
        """Returns the ids of streams that began at the first version."""
        names = [f's{number}' for number in range(count)]
        for number, name in enumerate(names):
            gateway = self.gateways[number % len(self.gateways)]
            self.assertEqual(await self.begin(gateway, name), {'v1'})
        return names

    def remove_version(self, version):
        for one in self.engines:
            if one.version == version:
                self.store.remove('servers', one.id)

    def stored(self, service='writers'):
        """Returns the stored versions of a service."""
        rows = (
            json.loads(row.value)
            for row in self.store.rows('versions')
            if row.value is not None
        )
        return {
            name
            for row in rows
            if row['service'] == service
            for name in row['versions']
        }

    async def restart_all(self):
        """Ends all gateways at once and starts as many under their names."""
        for one in self.gateways:
            await one.close()
        self.gateways = [
            await self.start_gateway(
                wait=False, name=f'node-{number}', peers=fixture.ANYWHERE
            )
            for number in range(len(self.gateways))
        ]
        for one in self.gateways:
            await self.wait_until(one.is_ready)

    async def take_up(self, names):
        """Returns the versions with which streams go on; None if refused."""
        found = []
        for number, name in enumerate(names):
            gateway = self.gateways[(number + 1) % len(self.gateways)]
            response = await self.stream(gateway, self.resume(name))
            self.assertIn(response.status, (200, 503))
            found.append(
                self.versions_of(response) if response.status == 200 else None
            )
        return found


class DepartedGatewaysTest(StoredVersionsTestCase):
    """Most gateways of the directory have left for good."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for one in self.gateways:
            await one.close()
        for number in range(GONE):
            self.store.put(
                'gateways', f'gone-{number}', {'address': '127.0.0.1:9'}
            )
        self.gateways = await self.start_peers(test_taken_up_streams.GATEWAYS)
        await self.wait_for_engines(len(self.engines))

    async def test_a_second_version_is_stored(self):
        """Only gateways that had left were to store it (review/5)."""
        names = await self.begin_streams()
        await self.add_engine('v2', 0)
        await self.wait_for_engines(len(self.engines))
        await self.wait_until(lambda: self.stored() == {'v1', 'v2'})
        self.remove_version('v1')
        await self.restart_all()
        self.assertEqual(await self.take_up(names), [None] * len(names))


class RestoredStoreTest(StoredVersionsTestCase):
    """The store comes back from a copy and loses what gateways wrote."""

    era = 1

    async def test_versions_are_stored_again(self):
        """A row that the copy lacked was missing from then on (review/6)."""
        names = await self.begin_streams()
        copy = self.store.snapshot()
        await self.add_engine('v2', 0)
        await self.wait_for_engines(len(self.engines))
        await self.wait_until(lambda: self.stored() == {'v1', 'v2'})
        await self.store.restore(copy, random.Random(1))
        await self.wait_until(lambda: self.stored() == {'v1', 'v2'})
        self.remove_version('v1')
        await self.restart_all()
        self.assertEqual(await self.take_up(names), [None] * len(names))


if __name__ == '__main__':
    unittest.main()
