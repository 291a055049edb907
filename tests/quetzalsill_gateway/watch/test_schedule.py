"""Tests of which gateway polls the source, and when."""

from __future__ import annotations

import asyncio
import random
import unittest

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway.watch import configuration, membership, schedule

NEAR_S = 0.001
LEAST_S = 0.75


class PollScheduleTest(unittest.TestCase):
    """Two gateways that were answered at the same time."""

    def test_two_that_are_answered_at_once_do_not_both_stop(self):
        """Two calls end with the same change, and both gateways announce it.

        Each took the update of the other for a sign that it goes on polling.
        None did, and the next edit was known half a second late or more.
        """

        async def work():
            loop = asyncio.get_running_loop()
            intervals = schedule.PollIntervals(
                1.5, 0.75, configuration.REPOLL_DELAY_S
            )
            both = [
                schedule.PollSchedule(intervals, lambda: 2, random.Random(n))
                for n in (1, 2)
            ]
            await asyncio.sleep(1.0)
            for one in both:
                await one.wait()
            for one in both:
                self.assertTrue(one.note_answer(loop.time()))
            waits = [asyncio.create_task(one.wait()) for one in both]
            await asyncio.sleep(NEAR_S)
            for one in both:
                one.note_peer_answer(loop.time())
            await asyncio.gather(*waits)
            return [one.note_answer(loop.time()) for one in both]

        self.assertTrue(any(clock.run(work)))

    def test_one_of_two_polls_on_in_a_large_fleet(self):
        """Guards against a late notice, as both leave the polling to the other.

        In a large fleet the polling gateway pauses between its calls. Each of
        two that were answered at the same time receives the update of the other
        in that pause.
        """

        async def work():
            loop = asyncio.get_running_loop()
            intervals = schedule.PollIntervals(
                LEAST_S, 0.4, membership.REPOLL_DELAY_S
            )
            both = [
                schedule.PollSchedule(intervals, lambda: 300, random.Random(n))
                for n in (1, 2)
            ]
            await asyncio.sleep(1.0)
            for one in both:
                await one.wait()
                self.assertTrue(one.note_answer(loop.time()))
            await asyncio.sleep(NEAR_S)
            for one, has_priority in zip(both, (True, False), strict=True):
                one.note_peer_answer(loop.time(), has_priority=has_priority)
            waits = [asyncio.create_task(one.wait()) for one in both]
            await asyncio.sleep(LEAST_S / 2)
            return [wait.done() for wait in waits]

        self.assertEqual(clock.run(work), [True, False])


if __name__ == '__main__':
    unittest.main()
