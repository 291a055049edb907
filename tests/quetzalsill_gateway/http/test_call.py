"""Tests of connections to upstreams."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from quetzalsill_gateway.http import call, error

CONNECT_S = 0.05
PART = 65_536
SIZE = 512 * PART


class ConnectTest(unittest.IsolatedAsyncioTestCase):
    """Connecting to a server that may or may not accept."""

    async def asyncSetUp(self):
        self.server = await asyncio.start_server(
            lambda _, writer: writer.close(), '127.0.0.1', 0
        )
        self.address = self.server.sockets[0].getsockname()[:2]
        self.addAsyncCleanup(self.server.wait_closed)
        self.addCleanup(self.server.close)

    async def test_a_pause_while_a_connection_is_opened(self):
        """A pause of this process must not make an engine look gone.

        Its run would be resumed at a second engine while the first still runs
        it.
        """
        loop = asyncio.get_running_loop()
        loop.call_soon(time.sleep, 2 * CONNECT_S)
        conn = await call.connect(self.address, CONNECT_S)
        self.assertTrue(conn.is_usable)
        conn.abort()

    async def test_nobody_listens(self):
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(error.ConnectError) as caught:
            await call.connect(self.address, CONNECT_S)
        self.assertNotIsInstance(caught.exception, error.ConnectTimeoutError)

    async def test_nobody_answers(self):
        async def never(*_):
            await asyncio.Event().wait()

        loop = asyncio.get_running_loop()
        with (
            mock.patch.object(loop, 'create_connection', never),
            self.assertRaises(error.ConnectTimeoutError),
        ):
            await call.connect(self.address, CONNECT_S)


class BackpressureTest(unittest.IsolatedAsyncioTestCase):
    """A server that sends faster than its response is read."""

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % SIZE)
        for _ in range(SIZE // PART):
            writer.write(bytes(PART))
            await writer.drain()
            self.sent += PART
        await asyncio.sleep(1.0)
        writer.transport.abort()

    async def test_a_response_that_nobody_reads(self):
        """A large body fills the memory while its caller reads slowly."""
        self.sent = 0
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        conn = await call.connect(server.sockets[0].getsockname()[:2], 1.0)
        self.addCleanup(conn.abort)
        conn.send(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        await conn.head()
        await asyncio.sleep(0.5)
        # Most of it is in the buffers of the kernel.
        self.assertLess(self.sent, SIZE / 2)
        received = 0
        async with asyncio.timeout(10.0):
            while data := await conn.read():
                received += len(data)
        self.assertEqual(received, SIZE)
        self.assertTrue(conn.is_usable)


if __name__ == '__main__':
    unittest.main()
