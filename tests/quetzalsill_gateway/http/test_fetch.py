"""Tests of the gateway's own calls."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest

from quetzalsill_gateway.http import error, fetch, pool

TIMEOUT_S = 0.1
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'


class FetchTest(unittest.IsolatedAsyncioTestCase):
    """Calls to a server that responds and may then block the process."""

    async def asyncSetUp(self):
        self.answer = ANSWER
        self.pause_s = 0.0
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addAsyncCleanup(self.server.wait_closed)
        self.addCleanup(self.server.close)

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.answer)
        time.sleep(self.pause_s)
        await reader.read()
        writer.close()

    async def fetch(self):
        address = self.server.sockets[0].getsockname()[:2]
        return await fetch.fetch(
            pool.Pool(), address, 'POST', '/', timeout_s=TIMEOUT_S
        )

    async def test_a_response_that_arrives_as_the_timeout_expires(self):
        """A response that is already here must not be lost to the timeout.

        An engine has stopped a run and returned its handle. Without the handle
        the run can't be resumed, and its caller's response is truncated.
        """
        self.pause_s = 2 * TIMEOUT_S
        self.assertEqual((await self.fetch()).json(), {})

    async def test_silence(self):
        self.answer = b''
        with self.assertRaises(error.ResponseTimeoutError):
            await self.fetch()

    async def test_a_server_that_is_paused_is_not_gone(self):
        """A paused server accepts connections and must not count as gone.

        Otherwise a run would be resumed at a second engine while the paused
        one still has it.
        """
        unresponsive = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(unresponsive.close)
        with self.assertRaises(error.ResponseTimeoutError):
            await fetch.fetch(
                pool.Pool(),
                unresponsive.getsockname()[:2],
                'POST',
                '/',
                timeout_s=TIMEOUT_S,
            )


if __name__ == '__main__':
    unittest.main()
