"""Runs that go on from a copy of their memory at a second engine."""

from __future__ import annotations

import asyncio
import unittest

from tests.quetzalsill_platform import test_streams

# Long enough that a copy of its memory pays, and too short.
LONG_HEADERS = test_streams.PROMPT | {'X-Quetzalsill-Length-Hint': '400'}
SHORT_HEADERS = test_streams.PROMPT | {'X-Quetzalsill-Length-Hint': '10'}


class BackupTest(test_streams.StreamTestCase):
    """Engines that send the memory of their runs to others as it grows."""

    engine = {'backups': True, 'linkMbps': 2700.0}

    async def crash(self, request_id):
        """Crashes the engine of a stream once it has made events."""
        source = await self.wait_until_working()
        await self.wait_until(lambda: source._runs[request_id].made >= 20)
        await source.crash()
        return source

    async def test_a_plan_outlives_the_crash_of_its_engine(self):
        """An engine crashes in the middle of a plan that may run once only.

        Its memory was sent to a second engine while it grew. The caller sees
        one answer, no event missing or doubled; nothing is generated anew.
        """
        for replica in self.engines:
            replica.length = 80
        pending = asyncio.create_task(
            self.stream(request_id='b1', headers=LONG_HEADERS)
        )
        source = await self.crash('b1')
        self.assert_complete(await pending, 'b1', 80)
        self.assertEqual(self.fleet.started['b1'], [source.id])
        self.assertEqual(self.fleet.doubled, set())

    async def test_a_run_whose_connection_broke_is_stopped_first(self):
        """The connection to an engine is reset; the engine does not notice.

        Gone on with from its backup at once, the plan would be at work twice.
        The engine is ordered to stop it before anything goes on elsewhere.
        """
        for replica in self.engines:
            replica.length, replica.break_after = 80, 20
            replica.works_on_s = 5.0
        pending = asyncio.create_task(
            self.stream(request_id='b2', headers=LONG_HEADERS)
        )
        source = await self.wait_until_working()
        for replica in self.engines:
            if replica is not source:
                replica.break_after = None
        self.assert_complete(await pending, 'b2', 80)
        self.assertEqual(self.fleet.doubled, set())

    async def test_without_a_copy_the_stream_is_cut_and_not_run_again(self):
        """Engine and backup are lost; the plan must not start anew."""
        for replica in self.engines:
            replica.length, replica.full = 80, True
        pending = asyncio.create_task(
            self.stream(request_id='b3', headers=LONG_HEADERS)
        )
        source = await self.crash('b3')
        self.assertFalse((await pending).whole)
        self.assertEqual(self.fleet.started['b3'], [source.id])

    async def test_a_short_run_is_not_backed_up(self):
        await self.stream(request_id='b4', headers=SHORT_HEADERS)
        sent = [headers for e in self.engines for headers in e.requests]
        self.assertFalse([h for h in sent if 'x-quetzalsill-kv-backup' in h])


if __name__ == '__main__':
    unittest.main()
