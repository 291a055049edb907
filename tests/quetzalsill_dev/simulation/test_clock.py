"""Tests of the virtual clock and of the simulations on it."""

from __future__ import annotations

import asyncio
import random
import unittest

from quetzalsill_dev.bench import telling
from quetzalsill_dev.simulation import clock


class ClockTest(unittest.TestCase):
    """Time advances only when no callback is ready."""

    def test_timers_end_in_their_order_at_their_times(self):
        seen = []

        async def wait(seconds):
            await asyncio.sleep(seconds)
            seen.append((seconds, asyncio.get_running_loop().time()))

        async def work():
            await asyncio.gather(*(wait(n) for n in (3600.0, 0.001, 5.0)))

        clock.run(work)
        self.assertEqual([wait for wait, _ in seen], [0.001, 5.0, 3600.0])
        for wait_s, at_s in seen:
            self.assertAlmostEqual(wait_s, at_s)

    def test_a_task_that_waits_for_nothing_that_can_come_is_found(self):
        async def work():
            await asyncio.Event().wait()

        with self.assertRaises(clock.DeadlockError):
            clock.run(work)


class TellingTest(unittest.TestCase):
    """The benchmark of the updates between gateways."""

    def test_the_same_fleet_tells_the_same(self):
        counts = []
        for _ in range(2):
            # Each gateway process draws a random number, whose encoded size
            # varies.
            random.seed(1)
            fleet = telling.Fleet(4)
            clock.run(fleet.run)
            counts.append((fleet.datagrams, fleet.sent_bytes))
        self.assertGreater(counts[0][0], 4 * 3 * telling.MEASURED_S / 2)
        self.assertEqual(*counts)


if __name__ == '__main__':
    unittest.main()
