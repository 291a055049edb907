"""Generations that may run once only, at engines that fail as they begin."""

from __future__ import annotations

import asyncio
import unittest

from tests.quetzalsill_platform import test_backups, test_streams


class RunOnceTest(test_streams.StreamTestCase):
    """Engines with backups that end what they have just begun."""

    engine = {'backups': True, 'linkMbps': 2700.0}

    async def test_a_run_that_made_nothing_is_not_sent_to_its_backup(self):
        """Engines reset a plan as they begin it; it began at nine of them.

        The first ends the run before its first event. The gateway sent it on
        to the backup that it had asked for, and from there to the next. None
        was ever sent memory of it: what had been asked for was taken for what
        exists. Each of these sends named a backup and followed a part without
        an event; none went on to an end. The caller gets 502.
        """
        for replica in self.engines:
            replica.reset_as_begun, replica.ignores_copies = 9, True
        response = await self.stream(
            request_id='o1', headers=test_backups.LONG_HEADERS
        )
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.fleet.started['o1']), 1)

    async def interrupt_stream(self, request_id, busy_orders):
        """Breaks a plan off while its engine works on; returns the answer.

        Args:
          request_id: Id of the request.
          busy_orders: How many orders to stop its engine does not carry out.
        """
        for replica in self.engines:
            replica.length, replica.break_after = 80, 20
            replica.works_on_s, replica.busy_orders = 5.0, busy_orders
        pending = asyncio.create_task(
            self.stream(
                request_id=request_id, headers=test_backups.LONG_HEADERS
            )
        )
        source = await self.wait_until_working()
        for replica in self.engines:
            if replica is not source:
                replica.break_after = None
        return await pending

    async def test_a_run_that_was_not_stopped_does_not_go_on(self):
        """An engine works on behind a broken connection, and says 409.

        It has the run, and another order for it under way, so that it does not
        stop it. The gateway went on at the backup all the same, and two engines
        worked on the plan. Its answer says that the run is there: the caller's
        stream ends, and looks like it.
        """
        response = await self.interrupt_stream('o2', busy_orders=1_000_000)
        self.assertFalse(response.whole)
        self.assertEqual(self.fleet.doubled, set())

    async def test_an_engine_is_told_again_to_stop_a_run(self):
        """The order under way ends, and a later one is carried out."""
        response = await self.interrupt_stream('o3', busy_orders=2)
        self.assert_complete(response, 'o3', 80)
        self.assertEqual(self.fleet.doubled, set())


if __name__ == '__main__':
    unittest.main()
