"""Software versions in a store that fails, on virtual time."""

from __future__ import annotations

import asyncio
import functools
import itertools
import random
import unittest
from unittest import mock

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import error, event, source
from quetzalsill_gateway.fleet import (
    members,
    revision,
    software_versions,
    upstream,
    write_turns,
)
from quetzalsill_gateway.watch import epoch, version_history, version_rows

SERVICE = 's'
# Has served for longer, so that an older copy has its row.
OTHER = 'other'
LIFETIME_S = 60.0
MAX_KEY_LENGTH = 200
GATEWAYS = 3
CALL_S = 0.005
POLL_S = 0.1
START_S = 0.02
# Times after events, in turn: less than a write takes, some turns, and longer
# than a version counts as new.
GAPS_S = ((0.002,), (0.002, 0.3), (0.3, 0.002), (1.2,))


class Table:
    """The rows of a store, which may be away or come back from a copy."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.epoch = 1
        self.is_away = False
        self.copy = (0, {})

    async def load(self):
        await asyncio.sleep(CALL_S)
        self.check()
        return source.StoredRows(dict(self.rows), self.epoch)

    async def save(self, writes):
        await asyncio.sleep(CALL_S)
        self.check()
        if any(len(key) > MAX_KEY_LENGTH for key in writes):
            raise error.SourceError('invalid key')
        for key, (version, _) in writes.items():
            found = self.rows.get(key)
            if (found.version if found else 0) != version:
                return False
        self.version += 1
        for key, (_, value) in writes.items():
            self.rows[key] = source.StoredRow(value, self.version)
        await asyncio.sleep(CALL_S)
        return True

    def check(self):
        if self.is_away:
            raise error.SourceError('away')

    def take_copy(self):
        self.copy = (self.version, dict(self.rows))

    def restore(self):
        self.version, self.rows = self.copy[0], dict(self.copy[1])
        self.epoch += 1


class Gateway:
    """A gateway's membership and history."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.epochs = epoch.EpochTracker()
        self.upstreams = upstream.Upstreams()
        self.versions = self.upstreams.versions
        self.members = members.Members(name)
        self.history = version_history.VersionHistory(
            self.upstreams,
            name,
            world.writers,
            self.load,
            self.save,
            lambda: LIFETIME_S,
            lambda: False,
            self.epochs,
            random.Random(name),
        )
        self.history.set_announcer(lambda update: world.announce(self, update))
        self.tasks = [
            asyncio.create_task(work())
            for work in (self.history.run, self.poll, self.begin_streams)
        ]

    async def load(self):
        found = await self.world.table.load()
        self.observe()
        return found

    async def save(self, writes):
        saved = await self.world.table.save(writes)
        self.observe()
        return saved

    def observe(self):
        table = self.world.table
        self.epochs.observe('call', table.epoch, self.epochs.newest)

    async def poll(self):
        while True:
            if not self.world.table.is_away:
                self.observe()
            await asyncio.sleep(POLL_S)

    async def begin_streams(self):
        """Begins streams as the search for an engine does."""
        while True:
            known = self.upstreams.available(SERVICE)
            best = min(map(self.versions.stage, known), default=None)
            if best is not software_versions.Stage.STORING:
                self.world.begun |= {
                    one.software_version
                    for one in known
                    if self.versions.stage(one) is best
                }
            await asyncio.sleep(0.02)

    def put(self, version, service=SERVICE):
        found = upstream.Upstream(
            f'{service}-{version}',
            service,
            ('10.0.0.1', 1),
            'z',
            software_version=version,
        )
        self.upstreams.put(found, revision.Revision(1, 1))

    def remove(self, version):
        self.upstreams.remove(f'{SERVICE}-{version}', revision.Revision(1, 2))

    def stop(self):
        for task in self.tasks:
            task.cancel()


class World:
    """Gateways, a store, and what happens to them."""

    def __init__(self):
        self.table = Table()
        self.serving = set()
        self.begun = set()
        self.gateways = []

    def writers(self):
        return tuple(sorted(one.name for one in self.gateways))

    def announce(self, sender, update):
        loop = asyncio.get_running_loop()
        for one in self.gateways:
            if one is not sender:
                loop.call_later(0.001, one.history.receive, update)

    def start(self, count=GATEWAYS):
        self.gateways = []
        for number in range(count):
            self.gateways.append(Gateway(self, f'g{number}'))
        if not self.table.is_away:
            self.list_upstreams()

    def list_upstreams(self):
        """The gateways that have started read the membership."""
        for one in self.gateways:
            if not one.upstreams.all():
                one.put('v1', OTHER)
                for version in sorted(self.serving):
                    one.put(version)

    def kill(self):
        for one in self.gateways:
            one.stop()
        self.start(len(self.gateways))

    def appear(self, version='v1'):
        self.serving.add(version)
        for one in self.gateways:
            if one.upstreams.all():
                one.put(version)

    def leave(self, version='v1'):
        self.serving.discard(version)
        for one in self.gateways:
            one.remove(version)

    def replace(self):
        """The second version serves."""
        self.appear('v2')

    def withdraw(self):
        """It does no more."""
        self.leave('v2')

    def lose_writer(self):
        """The gateway whose turn comes first leaves for good."""
        names = self.writers()
        first = min(
            self.gateways,
            key=lambda one: write_turns.rank(
                version_history.KEY, one.name, names
            ),
        )
        self.gateways.remove(first)
        first.stop()

    def set_away(self):
        self.table.is_away = True

    def set_back(self):
        self.table.is_away = False
        self.list_upstreams()

    def restore(self):
        self.table.restore()

    def faults(self):
        """Returns the wrong versions that gateways take streams to be of."""
        found = [one.versions.only(SERVICE) for one in self.gateways]
        return [
            (origin.version, sorted(self.begun))
            for origin in found
            if origin is not None and self.begun - {origin.version}
        ]


async def play(order, gaps_s, *, has_row=True):
    """Plays events; returns what was wrong after one, and the last state.

    Args:
      order: The events.
      gaps_s: Times after them, repeated.
      has_row: Whether the copy that the store comes back from has the row of
        the service.
    """
    world = World()
    world.start()
    await asyncio.sleep(0.3)
    world.table.take_copy()
    world.appear()
    await asyncio.sleep(0.3)
    if has_row:
        world.table.take_copy()
    faults = []
    for step, gap_s in zip(order, itertools.cycle(gaps_s), strict=False):
        step(world)
        await asyncio.sleep(gap_s)
        faults += world.faults()
    world.set_back()
    world.kill()
    for wait_s in (START_S, 1.0):
        await asyncio.sleep(wait_s)
        faults += world.faults()
    only = [one.versions.only(SERVICE) for one in world.gateways]
    for one in world.gateways:
        one.stop()
    return faults, only


class OrdersTest(unittest.TestCase):
    """Every order of what happens to versions, gateways and the store."""

    def setUp(self):
        patch = mock.patch.object(event, 'note')
        patch.start()
        self.addCleanup(patch.stop)

    def assert_sound(self, *events):
        for gaps_s, has_row in itertools.product(GAPS_S, (True, False)):
            for order in itertools.permutations(events):
                work = functools.partial(play, order, gaps_s, has_row=has_row)
                faults, _ = clock.run(work)
                names = [step.__name__ for step in order]
                self.assertEqual(faults, [], (gaps_s, has_row, names))

    def test_a_version_that_is_replaced(self):
        """A row that is missing, lost or not yet written means one version."""
        self.assert_sound(
            World.replace,
            World.leave,
            World.set_away,
            World.restore,
            World.kill,
        )

    def test_a_version_that_is_withdrawn(self):
        """Streams of a version that was there for a moment are forgotten."""
        self.assert_sound(
            World.replace,
            World.withdraw,
            World.set_away,
            World.restore,
            World.kill,
        )

    def test_a_writer_that_leaves(self):
        """The gateway that should have stored a version has left."""
        self.assert_sound(
            World.replace, World.withdraw, World.lose_writer, World.restore
        )

    def test_streams_of_the_only_version_go_on(self):
        """Streams are refused though the service has had one version."""
        for gap_s, events in itertools.product(
            (0.3, 1.2),
            (
                (World.lose_writer, World.set_away, World.kill),
                (World.lose_writer, World.restore, World.kill),
            ),
        ):
            for order in itertools.permutations(events):
                _, only = clock.run(functools.partial(play, order, (gap_s,)))
                names = [step.__name__ for step in order]
                for origin in only:
                    self.assertIsNotNone(origin, (gap_s, names))
                    self.assertEqual(origin.version, 'v1')


class FaultyEntriesTest(unittest.TestCase):
    """Entries of upstreams that other writers have made."""

    def setUp(self):
        patch = mock.patch.object(event, 'note')
        patch.start()
        self.addCleanup(patch.stop)

    def stored_names(self, entries):
        """Returns the stored versions of each service."""

        async def work():
            world = World()
            world.start()
            for service, version in entries:
                for one in world.gateways:
                    one.put(version, service)
            await asyncio.sleep(1.0)
            for one in world.gateways:
                one.stop()
            return {
                key: set(row.value['versions'])
                for key, row in world.table.rows.items()
            }

        return clock.run(work)

    def test_a_service_whose_name_is_too_long_for_a_key(self):
        """The store refused the rows of all services with it."""
        long = 'x' * (MAX_KEY_LENGTH + 1)
        found = self.stored_names([(long, 'v1'), (SERVICE, 'v1')])
        self.assertEqual(found, {OTHER: {'v1'}, SERVICE: {'v1'}})

    def test_more_versions_than_a_row_may_have(self):
        """A row of too many versions can't be read again."""
        names = [f'v{n}' for n in range(2 * software_versions.MAX_VERSIONS)]
        found = self.stored_names([(SERVICE, name) for name in names])
        self.assertEqual(len(found[SERVICE]), software_versions.MAX_VERSIONS)


class RowsTest(unittest.TestCase):
    """The stored form of a service's versions."""

    def setUp(self):
        patch = mock.patch.object(event, 'note')
        self.note = patch.start()
        self.addCleanup(patch.stop)

    def decode(self, value):
        return version_rows.decode('s', source.StoredRow(value, 7))

    def test_a_row_is_read_as_it_was_written(self):
        row = version_rows.Row('s', frozenset(('v1', '')), 3, 7)
        self.assertEqual(self.decode(version_rows.encode(row)), row)

    def test_a_row_of_the_previous_release_is_no_proof(self):
        """Rows without an epoch were written after streams had begun."""
        row = self.decode({'service': 's', 'versions': ['v1', 'v2']})
        self.assertEqual((row.names, row.epoch), ({'v1', 'v2'}, None))
        self.note.assert_not_called()

    def test_the_previous_release_reads_rows(self):
        """Old gateways in a rolling restart reject the rows of new ones."""
        value = version_rows.encode(version_rows.Row('s', frozenset('ab'), 3))
        self.assertEqual(value['service'], 's')
        self.assertEqual(value['versions'], ['a', 'b'])

    def test_a_malformed_row_is_no_proof(self):
        """A row of another writer names no versions, or stops a gateway."""
        long = 'v' * (upstream.MAX_VERSION_LENGTH + 1)
        many = [f'v{n}' for n in range(software_versions.MAX_VERSIONS + 1)]
        for value in (
            (),
            'text',
            {},
            {'versions': 'v1', 'epoch': 1},
            {'versions': [1], 'epoch': 1},
            {'versions': [long], 'epoch': 1},
            {'versions': many, 'epoch': 1},
            {'versions': ['v1'], 'epoch': True},
            {'versions': ['v1'], 'epoch': '1'},
        ):
            with self.subTest(value=str(value)[:60]):
                row = self.decode(value)
                self.assertEqual((row.names, row.epoch), (frozenset(), None))
                self.assertEqual(row.version, 7)


if __name__ == '__main__':
    unittest.main()
