"""Simulates a fleet whose store is restored from an older copy."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from unittest import mock

from quetzalsill_dev.simulation import clock, watchers
from quetzalsill_gateway import event

__all__ = ['GATEWAYS', 'RECOVERY_S', 'DrillTest']

GATEWAYS = 24
STEP_S = 0.01
# Time after the return of the store within which every gateway has reached it
# again, also one that is partitioned off from its peers.
RECOVERY_S = 3.5


class DrillTest(unittest.TestCase):
    """Runs scenarios on virtual time."""

    seed = 6

    def setUp(self):
        patcher = mock.patch.object(event, 'note')
        self.note = patcher.start()
        self.addCleanup(patcher.stop)

    def simulate(self, scenario, gateways=GATEWAYS, servers=20):
        """Runs a scenario on a new fleet."""

        async def work():
            self.fleet = watchers.Fleet(gateways, servers, self.seed)
            await self.fleet.start()
            try:
                await scenario()
            finally:
                self.fleet.stop()

        clock.run(work)

    async def within(self, bound_s, condition, gateways=None):
        """Waits until the condition holds on all; fails after `bound_s`."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + bound_s
        while not all(condition(one) for one in gateways or self.fleet.all):
            self.assertLess(loop.time(), end_s, 'known too late')
            await asyncio.sleep(STEP_S)

    @contextlib.asynccontextmanager
    async def always(self, condition):
        """Fails if the condition does not hold on some gateway at any time."""
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
        """Writes unchanged entries until the store is past a version."""
        name = 'server-19'
        while self.fleet.store.version <= until:
            self.fleet.store.put_entry(self.fleet.entries[name])

    def events_of(self, kind):
        """Returns the events of a kind that were logged."""
        events = [call.args[0] for call in self.note.call_args_list]
        return [one for one in events if isinstance(one, kind)]
