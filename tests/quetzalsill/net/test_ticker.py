"""Tests of the ticker, on time and after pauses."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.net import ticker
from quetzalsill_dev.simulation import clock
from quetzalsill_dev.testing import pause

INTERVAL_S = 0.02


class TickerTest(unittest.TestCase):
    """A loop that runs every 20 ms."""

    def test_punctual_iterations_count(self):
        found = []

        async def work():
            loop_ticker = ticker.Ticker()
            found.extend([await loop_ticker.wait(INTERVAL_S) for _ in range(5)])

        clock.run(work)
        self.assertEqual(found, [True] * 5)


class PausedTest(unittest.IsolatedAsyncioTestCase):
    """The same loop in a process that is paused."""

    async def test_only_the_first_late_iteration_does_not_count(self):
        """A process that resumes after a pause takes all its peers for gone."""
        loop = asyncio.get_running_loop()
        loop_ticker = ticker.Ticker()
        found = []
        for _ in range(2):
            # Runs after the wait has started.
            loop.call_soon(pause.pause, 5 * INTERVAL_S)
            found.append(await loop_ticker.wait(INTERVAL_S))
        self.assertEqual(found, [False, True])


if __name__ == '__main__':
    unittest.main()
