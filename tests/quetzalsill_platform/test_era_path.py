"""A whole gateway before a store whose answers tell how often it came back."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from quetzalsill_gateway import event
from tests.quetzalsill_platform import fixture


class EraPathTest(fixture.PathTest):
    """The parts of a process hear of it from each other."""

    era = 1

    async def test_both_tables_are_listed_anew_and_work_goes_on(self):
        """One call tells of it, to the watch of the other table as well.

        Left to itself, that would go on from a version that was given out
        again; its feed tells of no failure.
        """
        told = []
        write = event.note
        with mock.patch.object(
            event, 'note', lambda one: (told.append(one), write(one))
        ):
            self.store.era += 1
            await self.until(
                lambda: (
                    {
                        one.table
                        for one in told
                        if isinstance(one, event.TableListed)
                    }
                    == {'configuration', 'membership'}
                )
            )
            self.assertEqual((await self.ask('/safe/')).status, 200)
            await asyncio.sleep(0.2)
        entered = [one for one in told if isinstance(one, event.EpochEntered)]
        self.assertEqual([(one.before, one.epoch) for one in entered], [(1, 2)])
        ahead = [one for one in told if isinstance(one, event.VersionAhead)]
        self.assertEqual(ahead, [])

    async def test_a_refusal_that_tells_of_it_is_enough(self):
        self.store.down = 'busy'
        self.store.era += 1
        epochs = self.process.epochs
        await self.until(lambda: epochs.newest == 2)
        self.assertEqual((await self.ask('/safe/')).status, 200)


if __name__ == '__main__':
    unittest.main()
