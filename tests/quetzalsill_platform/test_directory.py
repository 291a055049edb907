"""Gateways register in the directory within the limits of the store."""

from __future__ import annotations

import asyncio
import itertools
import random
import unittest

from quetzalsill_platform import directory

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import error
from tests.quetzalsill_platform import partition

# Longest time from power-on to the first served call.
MAX_START_S = 2.0
RETRY_S = 1.0
MAX_START_SKEW_S = 0.01


def address(number):
    """Returns the address of a gateway."""
    return f'10.1.{number // 256}.{number % 256}:7000'


class StartScenario:
    """Gateways that start at the same time.

    Attributes:
      table: The directory.
      read_at_s: When each gateway had read the directory.
      found: Gateways that each one has found.
    """

    def __init__(self, gateways, *, entries=None, seed=1):
        self._rng = random.Random(seed)
        self._addresses = {f'entry-{n}': address(n) for n in range(gateways)}
        self._entries = entries
        self.table = None
        self.read_at_s = {}
        self.found = {}

    def start_all(self):
        """Starts all gateways; returns once each has read the directory."""
        clock.run(self._start_all)
        return self

    def all_pairs_found(self):
        """Whether in each pair of gateways at least one found the other."""
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
    """All gateways restart at once after a power loss."""

    def test_what_stands_there_is_not_written_again(self):
        """All 300 hosts of a fleet restart while the directory is up to date.

        If each wrote its entry again, the writes would queue in one partition
        of the store. Some would be refused after a second, others applied after
        their timeout; a third of the gateways would know no peer for over a
        second, and send nothing to a cold server in that time.
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
        """300 gateways that are not registered yet start at the same time.

        Some writes are applied after their timeout. Repeating them at each
        retry would delay the writes of other gateways.
        """
        start = StartScenario(300).start_all()
        table = start.table
        self.assertEqual(table.writes, 300 + table.refused)
        self.assertLess(max(start.read_at_s.values()), MAX_START_S)
        self.assertTrue(start.all_pairs_found())


class EntryTest(unittest.TestCase):
    """Entries that gateways write."""

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
