"""Servers that answer with bytes that never end."""

from __future__ import annotations

import asyncio
import pathlib
import unittest

from quetzalsill_dev.users_platform import endless
from tests.quetzalsill_platform import fixture

STREAMS = 12
INTERVAL_S = 0.1
# The time limit of a head is 2 s; then another server makes a whole stream.
FAST_S, SLOW_S = 1.5, 3.5
MAX_GROWTH_MB = 60


def resident_mb():
    """Returns the resident memory of this process."""
    text = pathlib.Path('/proc/self/status').read_text()
    [line] = [one for one in text.splitlines() if one.startswith('VmRSS')]
    return int(line.split()[1]) / 1024


class EndlessAnswersTest(fixture.GatewayTestCase):
    """One of three engines answers without end."""

    async def stream(self):
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        response = await self.caller().request('/verdict/1', method='POST')
        return response, loop.time() - begun_s

    async def assert_served(self, shape, interval_s, within_s):
        """All streams are whole, soon, and take little memory."""
        self.engines[0].endless = shape
        self.engines[0].endless_interval_s = interval_s
        self.fleet.arrivals.clear()
        before_mb = resident_mb()
        found = []
        for _ in range(STREAMS):
            found.append(asyncio.create_task(self.stream()))
            await asyncio.sleep(0.02)
        for response, took_s in await asyncio.gather(*found):
            self.assertEqual(response.status, 200)
            self.assertTrue(response.complete)
            self.assertLess(took_s, within_s)
        self.assertLess(resident_mb() - before_mb, MAX_GROWTH_MB)

    async def test_heads(self):
        """Memory grew by gigabytes, and callers waited for nothing."""
        for shape in endless.HEADS:
            with self.subTest(shape):
                await self.assert_served(shape, 0.0, FAST_S)

    async def test_slow_heads(self):
        """Callers waited while other servers were idle."""
        for shape in endless.HEADS:
            with self.subTest(shape):
                await self.assert_served(shape, INTERVAL_S, SLOW_S)

    async def test_bodies(self):
        """Events without end reach a caller, or fill the memory."""
        for shape in endless.BODIES:
            with self.subTest(shape):
                await self.assert_served(shape, 0.0, FAST_S)


if __name__ == '__main__':
    unittest.main()
