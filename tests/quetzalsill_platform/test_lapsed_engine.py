"""Engines whose row is missing after the store has lost its history."""

from __future__ import annotations

import asyncio
import unittest

from tests.quetzalsill_platform import test_streams

LENGTH = 150
LEFT_S = 1.4


class LapsedEngineTest(test_streams.StreamTestCase):
    """An engine leaves, which the restored store doesn't show."""

    era = 1

    async def test_runs_are_moved_within_the_time_left(self):
        """An engine stops 1.4 s after its row was found missing.

        Its runs were cut, because it was kept for the grace period of lapsed
        rows and nobody was told that it leaves.
        """
        for replica in self.engines:
            replica.length = LENGTH
        gateways = [self.process, *await self.start_peers(2)]
        pending = asyncio.create_task(self.stream(request_id='l1'))
        source = await self.wait_until_working()
        await self.wait_until(lambda: self.has_event(source))
        self.store.remove('servers', source.id)
        without = self.store.snapshot()
        self.register(source)
        source.leaving, source.leaves_ms = True, round(LEFT_S * 1000)
        self.store.load_snapshot(without)
        stop = asyncio.create_task(self.stop_later(source))
        response = await pending
        await stop
        self.assert_complete(response, 'l1', LENGTH)
        self.assertEqual(self.fleet.started['l1'], [source.id])
        self.assertEqual(self.fleet.concurrent, set())
        for gateway in gateways:
            found = gateway.core.upstreams.get(source.id)
            self.assertTrue(found is None or found.leaving)

    def has_event(self, source):
        return any(
            stream.last_id
            for stream in self.process.core.live.of(
                self.process.core.upstreams.get(source.id)
            )
        )

    async def stop_later(self, source):
        await asyncio.sleep(LEFT_S)
        await source.crash()


if __name__ == '__main__':
    unittest.main()
