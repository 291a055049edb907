"""Servers that answer with bytes that never end."""

from __future__ import annotations

import asyncio
import pathlib
import unittest

from quetzalsill_dev.users_platform import endless, engine
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

    async def stream(self, request_id):
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        response = await self.caller().request(
            '/verdict/1', method='POST', request_id=request_id
        )
        # Nothing of the endless answer is in it.
        self.assertEqual(response.body, self.expected_stream(request_id))
        return response, loop.time() - begun_s

    async def assert_served(self, shape, interval_s, within_s):
        """All streams are whole, soon, and take little memory."""
        self.engines[0].endless = shape
        self.engines[0].endless_interval_s = interval_s
        self.fleet.arrivals.clear()
        before_mb = resident_mb()
        found = []
        for number in range(STREAMS):
            name = f'{shape[:5]}{interval_s}{number}'.replace(' ', '')
            found.append(asyncio.create_task(self.stream(name)))
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


class CommentsTest(fixture.GatewayTestCase):
    """Engines that send comments, which are no events."""

    async def test_comments_of_a_server_that_made_no_event(self):
        """A caller got the comments of one server and the events of another."""
        for one in self.engines:
            one.endless, one.endless_interval_s = 'comments', INTERVAL_S
        response = asyncio.create_task(
            self.request('/verdict/1', method='POST', request_id='s1')
        )
        await self.wait_until(lambda: self.fleet.running_on.get('s1'))
        await asyncio.sleep(3 * INTERVAL_S)
        for one in self.engines:
            one.endless = ''
        [name] = self.fleet.running_on['s1']
        [busy] = [one for one in self.engines if one.id == name]
        await busy.crash()
        found = await response
        self.assertTrue(found.complete)
        self.assertEqual(found.body, self.expected_stream('s1'))

    async def test_comments_of_a_whole_stream(self):
        """Comments are dropped, or a stream that ends with one is cut."""
        for one in self.engines:
            one.comment = b': a\n\n'
        response = await self.request(
            '/verdict/1', method='POST', request_id='s1'
        )
        self.assertTrue(response.complete)
        events = [engine.event('s1', n) for n in range(1, 11)]
        self.assertEqual(
            response.body,
            b''.join(b': a\n\n' + one for one in events) + b': a\n\n',
        )


if __name__ == '__main__':
    unittest.main()
