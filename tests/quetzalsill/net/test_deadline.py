"""Tests of deadlines with results that have and have not arrived."""

from __future__ import annotations

import asyncio
import socket
import unittest

from quetzalsill.net import deadline
from quetzalsill_dev.testing import pause

SHORT_S = 0.02
MANY_ITERATIONS = 20


class DeadlineTest(unittest.IsolatedAsyncioTestCase):
    """One block with a deadline."""

    async def asyncSetUp(self):
        near, far = socket.socketpair()
        self.addCleanup(far.close)
        self.reader, writer = await asyncio.open_connection(sock=near)
        self.addCleanup(writer.close)
        self.far = far

    def respond_and_pause(self):
        """Sends a response and pauses the process past the deadline."""
        self.far.sendall(b'answer\n')
        pause.pause(2 * SHORT_S + deadline.LATE_THRESHOLD_S)

    async def read_shielded(self):
        reading = asyncio.create_task(self.reader.readline())
        return await asyncio.shield(reading)

    async def test_an_answer_that_comes_as_the_deadline_passes(self):
        """A response is discarded when the process resumes after a pause."""
        for read in (self.reader.readline, self.read_shielded):
            with self.subTest(read.__name__):
                asyncio.get_running_loop().call_soon(self.respond_and_pause)
                async with deadline.timeout(SHORT_S):
                    found = await read()
                self.assertEqual(found, b'answer\n')

    async def test_an_answer_that_takes_many_iterations_to_arrive(self):
        """A response takes more loop iterations than the grace period has."""

        async def read():
            for _ in range(MANY_ITERATIONS):
                await asyncio.sleep(0)
            return await self.reader.readline()

        asyncio.get_running_loop().call_soon(self.respond_and_pause)
        async with deadline.timeout(SHORT_S):
            found = await read()
        self.assertEqual(found, b'answer\n')

    async def test_silence_ends_at_the_deadline(self):
        with self.assertRaises(TimeoutError):
            async with deadline.timeout(SHORT_S):
                await self.reader.readline()

    async def test_work_that_never_blocks_is_cancelled(self):
        async def work():
            while True:  # noqa: ASYNC110
                await asyncio.sleep(0)

        with self.assertRaises(TimeoutError):
            async with deadline.timeout(SHORT_S):
                await work()

    async def test_a_deadline_can_be_moved(self):
        async with deadline.timeout(SHORT_S) as limit:
            limit.reschedule(None)
            await asyncio.sleep(2 * SHORT_S)
        with self.assertRaises(TimeoutError):
            async with deadline.timeout(None) as limit:
                limit.reschedule(asyncio.get_running_loop().time() + SHORT_S)
                await asyncio.Event().wait()

    async def test_nothing_is_cancelled_after_the_block(self):
        async with deadline.timeout_at(asyncio.get_running_loop().time()):
            pass
        await asyncio.sleep(SHORT_S)

    async def test_a_cancelled_block_is_no_timeout(self):
        async def work():
            async with deadline.timeout(60.0):
                await asyncio.Event().wait()

        task = asyncio.create_task(work())
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


if __name__ == '__main__':
    unittest.main()
