"""Streams taken up after all gateways have ended at the same moment."""

from __future__ import annotations

import asyncio
import json
import random
import unittest

from quetzalsill_gateway.fleet import software_versions
from tests.quetzalsill_platform import fixture, test_taken_up_streams

GONE = 40
# Longer than a version that is stored counts as new.
SETTLED_S = 1.2


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

    def stored_rows(self):
        """Returns the stored rows of versions."""
        return [
            json.loads(row.value)
            for row in self.store.rows('versions')
            if row.value is not None
        ]

    def stored(self, service='writers'):
        """Returns the stored versions of a service."""
        return {
            name
            for row in self.stored_rows()
            if row['service'] == service
            for name in row['versions']
        }

    def stored_epoch(self, service='writers'):
        """Returns the epoch in which a service's row was stored."""
        [epoch] = [
            row['epoch']
            for row in self.stored_rows()
            if row['service'] == service
        ]
        return epoch

    def refuse_writes(self, is_on):
        """Sets whether the store refuses to write rows of versions."""
        self.store.refused_tables = {'versions'} if is_on else set()

    async def wait_for_versions(self, names):
        for one in self.gateways:
            await self.wait_until(
                lambda g=one: (
                    {u.software_version for u in g.core.upstreams.all()} - {''}
                    == names
                )
            )

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


class ReplacedVersionTest(StoredVersionsTestCase):
    """All engines are replaced by those of another version at once."""

    era = 1

    async def replace_all(self):
        """Replaces all engines; returns once a gateway knows that."""
        for number in range(3):
            await self.add_engine('v2', number)
        self.remove_version('v1')
        upstreams = self.gateways[0].core.upstreams
        await self.wait_until(lambda: upstreams.versions.has_several('writers'))

    async def test_a_kill_as_a_version_appears(self):
        """The row of versions was not written yet, and none meant one."""
        names = await self.begin_streams()
        self.refuse_writes(True)
        await self.replace_all()
        for one in self.gateways:
            await one.close()
        self.refuse_writes(False)
        await self.restart_all()
        self.assertEqual(await self.take_up(names), [None] * len(names))

    async def test_a_kill_just_after_a_restore(self):
        """The row of versions was lost, and none meant one."""
        copy = self.store.snapshot()
        names = await self.begin_streams()
        await self.replace_all()
        await self.wait_until(lambda: self.stored() == {'v1', 'v2'})
        for one in self.gateways:
            await one.close()
        await self.store.restore(copy, random.Random(1), rewrite_s=0.1)
        await self.restart_all()
        await self.wait_for_versions({'v2'})
        self.assertEqual(await self.take_up(names), [None] * len(names))

    async def test_streams_of_the_only_version_go_on(self):
        """Without records, streams of the only version are refused."""
        names = await self.begin_streams()
        await self.restart_all()
        self.assertEqual(await self.take_up(names), [{'v1'}] * len(names))

    async def test_streams_of_the_only_version_go_on_after_a_restore(self):
        """Rows were not proof in a new epoch, though all gateways know them."""
        copy = self.store.snapshot()
        names = await self.begin_streams()
        await self.store.restore(copy, random.Random(1), rewrite_s=0.1)
        await self.wait_until(lambda: self.stored_epoch() == self.store.era)
        await self.restart_all()
        await self.wait_for_engines(len(self.engines))
        self.assertEqual(await self.take_up(names), [{'v1'}] * len(names))

    async def test_a_version_begins_no_stream_before_it_is_stored(self):
        """A version began streams that no row would have shown."""
        for number in range(3):
            await self.add_engine('v2', number)
        self.refuse_writes(True)
        await self.wait_for_engines(len(self.engines))
        await asyncio.sleep(SETTLED_S)
        gateway = self.gateways[0]
        for _ in range(6):
            response = await self.stream(gateway)
            self.assertEqual(self.versions_of(response), {'v1'})
        self.refuse_writes(False)
        await self.wait_until(lambda: self.stored() == {'v1', 'v2'})

        upstreams = gateway.core.upstreams
        added = upstreams.get(self.engines[-1].id)
        await self.wait_until(
            lambda: (
                upstreams.versions.stage(added) is software_versions.Stage.KNOWN
            )
        )

    async def test_new_streams_begin_while_nothing_can_be_stored(self):
        """Streams waited for the store though no other version was left."""
        self.refuse_writes(True)
        await self.replace_all()
        await self.wait_for_versions({'v2'})
        response = await self.stream(self.gateways[0])
        self.assertTrue(response.complete)
        self.assertEqual(self.versions_of(response), {'v2'})


if __name__ == '__main__':
    unittest.main()
