"""A fleet before a store that comes back from an older copy."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from unittest import mock

from quetzalsill_dev.simulation import clock, watchers
from quetzalsill_gateway import event

__all__ = ['GATEWAYS', 'KNOWN_S', 'DrillTest']

GATEWAYS = 24
STEP_S = 0.01
# The store is found again within this time of its return, by who is cut off
# from the other gateways, too.
KNOWN_S = 3.5


class DrillTest(unittest.TestCase):
    """Plays stories on virtual time."""

    seed = 6

    def setUp(self):
        quiet = mock.patch.object(event, 'note')
        self.note = quiet.start()
        self.addCleanup(quiet.stop)

    def play(self, story, gateways=GATEWAYS, servers=20):
        """Plays a story on a fleet of its own."""

        async def work():
            self.fleet = watchers.Fleet(gateways, servers, self.seed)
            await self.fleet.start()
            try:
                await story()
            finally:
                self.fleet.stop()

        clock.run(work)

    async def within(self, bound_s, condition, those=None):
        """Waits until gateways agree; fails if that takes longer."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + bound_s
        while not all(condition(one) for one in those or self.fleet.all):
            self.assertLess(loop.time(), end_s, 'known too late')
            await asyncio.sleep(STEP_S)

    @contextlib.asynccontextmanager
    async def always(self, condition):
        """Fails if a gateway doesn't meet a condition at any moment."""
        failed = []

        async def look():
            while True:
                failed.extend(
                    one.node for one in self.fleet.all if not condition(one)
                )
                await asyncio.sleep(STEP_S)

        task = asyncio.create_task(look())
        try:
            yield
        finally:
            task.cancel()
        self.assertEqual(failed[:3], [], 'for a moment at least')

    def fill(self, until):
        """Writes entries that say nothing new, past a version."""
        name = 'server-19'
        while self.fleet.store.version <= until:
            self.fleet.store.put_entry(self.fleet.entries[name])

    def told(self, kind):
        """Returns the events of a kind that were noted."""
        events = [call.args[0] for call in self.note.call_args_list]
        return [one for one in events if isinstance(one, kind)]
