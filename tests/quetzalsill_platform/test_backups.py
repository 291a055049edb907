"""Runs that resume from a KV cache copy at a second engine."""

from __future__ import annotations

import asyncio
import unittest

from tests.quetzalsill_platform import test_streams

# Expected lengths at which a run is backed up, and is not.
LONG_HEADERS = test_streams.PROMPT | {'X-Quetzalsill-Length-Hint': '400'}
SHORT_HEADERS = test_streams.PROMPT | {'X-Quetzalsill-Length-Hint': '10'}


class BackupTest(test_streams.StreamTestCase):
    """Engines that send their runs' KV cache to others as it grows."""

    engine = {'backups': True, 'linkMbps': 2700.0}

    async def crash(self, request_id):
        """Crashes the engine of a stream once it has made 20 events."""
        source = await self.wait_until_working()
        await self.wait_until(
            lambda: source._runs[request_id].event_count >= 20
        )
        await source.crash()
        return source

    async def test_a_run_survives_the_crash_of_its_engine(self):
        """An engine crashes in the middle of an at-most-once run.

        The run resumes from its KV cache copy at a second engine. The caller
        gets one response without missing or duplicate events, and no event is
        generated again.
        """
        for replica in self.engines:
            replica.length = 80
        pending = asyncio.create_task(
            self.stream(request_id='b1', headers=LONG_HEADERS)
        )
        source = await self.crash('b1')
        self.assert_complete(await pending, 'b1', 80)
        self.assertEqual(self.fleet.started['b1'], [source.id])
        self.assertEqual(self.fleet.concurrent, set())

    async def test_a_run_whose_connection_broke_is_stopped_first(self):
        """The connection to an engine is reset, and the engine keeps running.

        Resuming from the backup at once would have two engines work on the run,
        so the engine gets a stop command first.
        """
        for replica in self.engines:
            replica.length, replica.abort_after = 80, 20
            replica.keeps_running_s = 5.0
        pending = asyncio.create_task(
            self.stream(request_id='b2', headers=LONG_HEADERS)
        )
        source = await self.wait_until_working()
        for replica in self.engines:
            if replica is not source:
                replica.abort_after = None
        self.assert_complete(await pending, 'b2', 80)
        self.assertEqual(self.fleet.concurrent, set())

    async def test_without_a_copy_the_stream_is_cut_and_not_run_again(self):
        """Engine and backup are lost; the run must not start again."""
        for replica in self.engines:
            replica.length, replica.full = 80, True
        pending = asyncio.create_task(
            self.stream(request_id='b3', headers=LONG_HEADERS)
        )
        source = await self.crash('b3')
        self.assertFalse((await pending).complete)
        self.assertEqual(self.fleet.started['b3'], [source.id])

    async def test_a_short_run_is_not_backed_up(self):
        await self.stream(request_id='b4', headers=SHORT_HEADERS)
        sent = [headers for e in self.engines for headers in e.requests]
        self.assertFalse([h for h in sent if 'x-quetzalsill-kv-backup' in h])


if __name__ == '__main__':
    unittest.main()
