"""A gateway process whose store enters a new epoch."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill_gateway import event
from tests.quetzalsill_platform import fixture


class EraPathTest(fixture.GatewayTestCase):
    """A new epoch reaches all parts of the process."""

    era = 1

    async def test_both_tables_are_listed_anew_and_work_goes_on(self):
        """One call reports the epoch, and the other table is listed again too.

        The other watch would otherwise continue from a version that has been
        assigned again, and its feed reports no error.
        """
        events = []
        original_note = event.note
        with mock.patch.object(
            event,
            'note',
            lambda logged: (events.append(logged), original_note(logged)),
        ):
            self.store.era += 1
            await self.wait_until(
                lambda: (
                    {
                        logged.table
                        for logged in events
                        if isinstance(logged, event.TableListed)
                    }
                    == {'configuration', 'membership'}
                )
            )
            self.assertEqual((await self.request('/safe/')).status, 200)
            await asyncio.sleep(0.2)
        epochs_entered = [
            logged
            for logged in events
            if isinstance(logged, event.EpochEntered)
        ]
        self.assertEqual(
            [(logged.before, logged.epoch) for logged in epochs_entered],
            [(1, 2)],
        )
        ahead = [
            logged
            for logged in events
            if isinstance(logged, event.VersionAhead)
        ]
        self.assertEqual(ahead, [])

    async def test_a_refusal_that_tells_of_it_is_enough(self):
        self.store.down = 'busy'
        self.store.era += 1
        epochs = self.process.epochs
        await self.wait_until(lambda: epochs.newest == 2)
        self.assertEqual((await self.request('/safe/')).status, 200)


if __name__ == '__main__':
    unittest.main()
