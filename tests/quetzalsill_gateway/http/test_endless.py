"""Upstreams whose bytes never end."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from unittest import mock

from quetzalsill_dev.users_platform import endless
from quetzalsill_gateway.http import call, error, fetch, pool

CONNECT_S = 1.0
REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
# What a limit of 64 KiB lets through, besides what both kernels buffer.
MAX_SENT_BYTES = 8 * 1024 * 1024
# The time limit of a head, and some for a busy machine.
MAX_S = 2.0 + 1.0
SLOW_S = 0.1


class EndlessTestCase(unittest.IsolatedAsyncioTestCase):
    """A server that writes one answer without end."""

    async def asyncSetUp(self):
        self.shape, self.interval_s, self.sent = '', 0.0, 0
        self.ended = asyncio.Event()
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = server.sockets[0].getsockname()[:2]
        self.addCleanup(server.close)

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        write = writer.write

        def count(data):
            self.sent += len(data)
            write(data)

        writer.write = count
        try:
            with contextlib.suppress(ConnectionError):
                await endless.write(writer, self.shape, b'', self.interval_s)
        finally:
            writer.transport.abort()
            self.ended.set()

    async def read(self):
        """Reads an answer to its end."""
        conn = await call.connect(self.address, CONNECT_S)
        self.addCleanup(conn.abort)
        conn.send(REQUEST)
        await conn.head()
        while await conn.read():
            pass


class EndlessHeadTest(EndlessTestCase):
    """What comes without end is no body."""

    async def test_bytes(self):
        """Heads, size lines and trailers fill the memory."""
        for shape in endless.HEADS:
            with self.subTest(shape):
                self.shape, self.sent = shape, 0
                with self.assertRaises(error.MalformedResponseError) as caught:
                    async with asyncio.timeout(MAX_S):
                        await self.read()
                self.assertIn('bytes', str(caught.exception))
                self.assertLess(self.sent, MAX_SENT_BYTES)

    async def test_time(self):
        """A byte now and then counts as progress for ever."""
        self.interval_s = SLOW_S
        for shape in endless.HEADS:
            with self.subTest(shape):
                self.shape = shape
                with self.assertRaises(error.MalformedResponseError) as caught:
                    async with asyncio.timeout(MAX_S):
                        await self.read()
                self.assertIn(' s', str(caught.exception))

    async def test_the_connection_is_closed(self):
        """The server goes on sending to a connection that nobody reads."""
        for shape in endless.HEADS:
            with self.subTest(shape):
                self.shape = shape
                self.ended.clear()
                with self.assertRaises(error.MalformedResponseError):
                    async with asyncio.timeout(MAX_S):
                        await self.read()
                async with asyncio.timeout(1.0):
                    await self.ended.wait()


class FetchTest(EndlessTestCase):
    """Calls that the gateway makes itself."""

    async def test_a_body_that_trickles(self):
        """A body of a byte now and then is read for ever."""
        self.shape, self.interval_s = 'event', 0.01
        conns = pool.Pool()
        with (
            mock.patch.object(fetch, 'MAX_BODY_S', 1.0, create=True),
            self.assertRaises(error.ResponseTimeoutError),
        ):
            async with asyncio.timeout(3.0):
                await fetch.fetch(
                    conns, self.address, 'GET', '/', timeout_s=0.5
                )


class SoundAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Answers that are slow or large, but sound."""

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        for part, pause_s in self.parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)
        await asyncio.sleep(1.0)
        writer.transport.abort()

    async def read(self, *parts):
        self.parts = parts
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        address = server.sockets[0].getsockname()[:2]
        limits = call.Limits(head_bytes=4096, head_s=0.3)
        conn = await call.connect(address, CONNECT_S, limits=limits)
        self.addCleanup(conn.abort)
        conn.send(REQUEST)
        async with asyncio.timeout(5.0):
            await conn.head()
            body = b''
            while data := await conn.read():
                body += data
        return body

    async def test_pauses_between_the_parts_of_a_body(self):
        """A stream that pauses between two events is taken for endless."""
        head = endless.OK + b'transfer-encoding: chunked\r\n\r\n'
        # The line end of a chunk comes by itself, then there is a pause.
        body = await self.read(
            (head, 0.5),
            (b'3\r\nabc', 0.1),
            (b'\r\n', 0.5),
            (b'2\r\nde\r\n', 0.5),
            (b'0\r\n\r\n', 0.0),
        )
        self.assertEqual(body, b'abcde')

    async def test_a_server_that_takes_its_time(self):
        """The time before the first byte counts as that of a head."""
        body = await self.read(
            (b'', 0.5), (endless.OK + b'content-length: 2\r\n\r\nab', 0.0)
        )
        self.assertEqual(body, b'ab')

    async def test_many_small_chunks(self):
        """Their size lines add up to more than a head may have."""
        head = endless.OK + b'transfer-encoding: chunked\r\n\r\n'
        body = await self.read(
            (head, 0.0), (b'1\r\na\r\n' * 5000, 0.0), (b'0\r\n\r\n', 0.0)
        )
        self.assertEqual(len(body), 5000)

    async def test_a_large_body(self):
        """A body is taken for a head."""
        size = 4 * 1024 * 1024
        head = endless.OK + b'content-length: %d\r\n\r\n' % size
        body = await self.read((head + b'x' * size, 0.0))
        self.assertEqual(len(body), size)


if __name__ == '__main__':
    unittest.main()
