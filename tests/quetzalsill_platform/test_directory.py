"""Gateways that enter the directory, against the rates of the store."""

from __future__ import annotations

import asyncio
import itertools
import random
import unittest

from quetzalsill_platform import directory

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import error
from tests.quetzalsill_platform import partition

# From power to the first call that is served.
MAX_START_S = 2.0
RETRY_S = 1.0
MAX_START_SKEW_S = 0.01


def address(number):
    """Returns where a gateway listens."""
    return f'10.1.{number // 256}.{number % 256}:7000'


class StartScenario:
    """Gateways that start at the same moment.

    Attributes:
      table: The directory.
      read_at_s: When each had read it.
      found: Names that each has found.
    """

    def __init__(self, gateways, *, entries=None, seed=1):
        self._rng = random.Random(seed)
        self._addresses = {f'entry-{n}': address(n) for n in range(gateways)}
        self._entries = entries
        self.table = None
        self.read_at_s = {}
        self.found = {}

    def start_all(self):
        """Starts all of them; returns once each has read the directory."""
        clock.run(self._start_all)
        return self

    def all_pairs_found(self):
        """Whether of each two gateways at least one has found the other."""
        return all(
            b in self.found[a] or a in self.found[b]
            for a, b in itertools.combinations(self._addresses, 2)
        )

    async def _start_all(self):
        self.table = partition.Table(self._rng, partition.Rates())
        self.table.entries = dict(self._entries or {})
        await asyncio.gather(*(self._join(name) for name in self._addresses))

    async def _join(self, name):
        await asyncio.sleep(self._rng.uniform(0.0, MAX_START_SKEW_S))
        while True:
            try:
                found = await directory.join(
                    self.table, name, self._addresses[name]
                )
                break
            except error.SourceError:
                await asyncio.sleep(RETRY_S)
        self.found[name] = found
        self.read_at_s[name] = asyncio.get_running_loop().time()


class SimultaneousStartTest(unittest.TestCase):
    """All gateways lose power, and start at once."""

    def test_what_stands_there_is_not_written_again(self):
        """All 300 hosts of a fleet lose power and are back within a moment.

        Each writes the entry that stands in the directory already, all in one
        partition of the store. It makes them one after another, refuses those
        that would wait for a second, and answers others after they were given
        up; a third of the gateways know nobody for a second and more, and
        send nothing to a cold server for as long.
        """
        entries = {f'entry-{n}': address(n) for n in range(300)}
        start = StartScenario(300, entries=entries).start_all()
        self.assertEqual(start.table.refused, 0)
        self.assertEqual(start.table.late, 0)
        self.assertEqual(start.table.writes, 0)
        self.assertEqual(start.table.reads, 300)
        self.assertLess(max(start.read_at_s.values()), MAX_START_S)
        self.assertTrue(start.all_pairs_found())

    def test_a_write_whose_answer_is_late_is_not_made_again(self):
        """300 gateways that nobody knows yet start in the same moment.

        Some writes are made after the gateway has given them up. Made again at
        each try, they would keep the store from those of others.
        """
        start = StartScenario(300).start_all()
        table = start.table
        self.assertEqual(table.writes, 300 + table.refused)
        self.assertLess(max(start.read_at_s.values()), MAX_START_S)
        self.assertTrue(start.all_pairs_found())


class EntryTest(unittest.TestCase):
    """What one gateway writes."""

    def test_of_two_that_start_together_one_finds_the_other(self):
        for seed in range(50):
            start = StartScenario(2, seed=seed).start_all()
            self.assertTrue(start.all_pairs_found(), seed)
            self.assertEqual(start.table.writes, 2)

    def test_an_address_that_has_changed_is_written(self):
        start = StartScenario(
            2, entries={'entry-0': '10.9.9.9:7000'}
        ).start_all()
        self.assertEqual(start.table.entries['entry-0'], address(0))
        self.assertNotIn('entry-0', start.found['entry-0'])


if __name__ == '__main__':
    unittest.main()
