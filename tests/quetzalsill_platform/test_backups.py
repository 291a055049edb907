"""Runs that go on from a copy of their memory at a second engine."""

from __future__ import annotations

import asyncio
import unittest

from tests.quetzalsill_platform import test_streams

# Long enough that a copy of its memory pays, and too short.
LONG = test_streams.PROMPT | {'X-Quetzalsill-Length-Hint': '400'}
SHORT = test_streams.PROMPT | {'X-Quetzalsill-Length-Hint': '10'}


class BackupTest(test_streams.StreamFixture):
    """Engines that send the memory of their runs to others as it grows."""

    engine = {'backups': True, 'linkMbps': 2700.0}

    async def crash(self, request_id):
        """Crashes the engine of a stream once it has made events."""
        source = await self.until_working()
        await self.until(lambda: source._runs[request_id].made >= 20)
        await source.crash()
        return source

    async def test_a_plan_outlives_the_crash_of_its_engine(self):
        """An engine crashes in the middle of a plan that may run once only.

        Its memory was sent to a second engine while it grew. The caller sees
        one answer, no event missing or doubled; nothing is generated anew.
        """
        for writer in self.engines:
            writer.length = 80
        asked = asyncio.create_task(self.stream(request_id='b1', headers=LONG))
        source = await self.crash('b1')
        self.assert_whole(await asked, 'b1', 80)
        self.assertEqual(self.fleet.started['b1'], [source.id])
        self.assertEqual(self.fleet.doubled, set())

    async def test_a_run_whose_connection_broke_is_stopped_first(self):
        """The connection to an engine is reset; the engine does not notice.

        Gone on with from its backup at once, the plan would be at work twice.
        The engine is ordered to stop it before anything goes on elsewhere.
        """
        for writer in self.engines:
            writer.length, writer.break_after = 80, 20
            writer.works_on_s = 5.0
        asked = asyncio.create_task(self.stream(request_id='b2', headers=LONG))
        source = await self.until_working()
        for writer in self.engines:
            if writer is not source:
                writer.break_after = None
        self.assert_whole(await asked, 'b2', 80)
        self.assertEqual(self.fleet.doubled, set())

    async def test_without_a_copy_the_stream_is_cut_and_not_run_again(self):
        """Engine and backup are lost; the plan must not start anew."""
        for writer in self.engines:
            writer.length, writer.full = 80, True
        asked = asyncio.create_task(self.stream(request_id='b3', headers=LONG))
        source = await self.crash('b3')
        self.assertFalse((await asked).whole)
        self.assertEqual(self.fleet.started['b3'], [source.id])

    async def test_a_short_run_is_not_backed_up(self):
        await self.stream(request_id='b4', headers=SHORT)
        sent = [headers for e in self.engines for headers in e.requests]
        self.assertFalse([h for h in sent if 'x-quetzalsill-kv-backup' in h])


if __name__ == '__main__':
    unittest.main()
