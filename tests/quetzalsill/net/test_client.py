"""Tests of the HTTP client: no retries, and truncation is an error."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

import blacksheep
from blacksheep import client as library

from quetzalsill.error import base
from quetzalsill.net import client, error
from tests.quetzalsill.net import scripted_server

EMPTY_BODY = blacksheep.Content(b'text/plain', b'')


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """Base class with a scripted server and its client."""

    async def serve(self, script, **options):
        server = await self.enterAsyncContext(
            contextlib.asynccontextmanager(scripted_server.serve_script)(script)
        )
        self.client = client.session(
            server.url, scripted_server.TIMEOUT_S, **options
        )
        self.addAsyncCleanup(self.client.close)
        return server


class ResendTest(ClientTest):
    """No request reaches the server twice."""

    async def close_second(self, server, reader, writer):
        """Responds to the first request and closes during the second."""
        await server.head(reader)
        writer.write(scripted_server.make_response(b'ok'))
        await server.head(reader)

    async def test_order_is_not_sent_again(self):
        """A request takes effect twice.

        The server receives it on a kept-alive connection and crashes before
        it responds; the client sees the closed connection and silently
        retries on a new one.
        """
        server = await self.serve(self.close_second)
        await self.client.get('/slots')
        with self.assertRaises(error.ResponseLostError) as caught:
            await self.client.post('/orders', EMPTY_BODY)
        self.assertEqual(caught.exception.ran, base.Ran.UNKNOWN)
        self.assertEqual(len(server.heads), 2)

    async def test_library_would_send_it_again(self):
        """The library's own session retries the request of the test above.

        This is why `net.client` exists; a failure means that the library has
        changed.
        """
        server = await self.serve(self.close_second)
        session = library.ClientSession(base_url=server.url)
        session.delay_before_retry = 0
        self.addAsyncCleanup(session.close)
        await session.get('/slots')
        await session.post('/orders', EMPTY_BODY)
        self.assertEqual(len(server.heads), 3)

    async def test_connection_closed_while_idle_is_not_used(self):
        """A request fails with an unknown outcome without need.

        The server has closed an idle connection; the request is written after
        the end of the stream and lost, although it could have been sent on a
        new connection.
        """
        closed = asyncio.Event()

        async def close_idle(server, reader, writer):
            await server.head(reader)
            writer.write(scripted_server.make_response(b'ok'))
            writer.close()
            await writer.wait_closed()
            closed.set()

        server = await self.serve(close_idle)
        await self.client.get('/slots')
        await closed.wait()
        await asyncio.sleep(0)
        response = await self.client.post('/orders', EMPTY_BODY)
        self.assertEqual((response.status, len(server.heads)), (200, 2))

    async def test_unasked_answer_is_not_taken_for_the_next(self):
        """A caller receives a response to no request of its own.

        The server sends a 408 on an idle connection before it closes it, and
        the next request on that connection takes it for its response.
        """
        sent = asyncio.Event()

        async def send_more(server, reader, writer):
            await server.head(reader)
            writer.write(scripted_server.make_response(b'own'))
            await writer.drain()
            await asyncio.wait_for(
                self.answered.wait(), scripted_server.TIMEOUT_S
            )
            writer.write(scripted_server.make_response(b'unasked'))
            await writer.drain()
            sent.set()
            await server.head(reader)

        self.answered = asyncio.Event()
        server = await self.serve(send_more)
        await self.client.get('/slots')
        self.answered.set()
        await sent.wait()
        await asyncio.sleep(0)
        response = await self.client.get('/slots')
        self.assertEqual(await response.read(), b'own')
        self.assertEqual(len(server.heads), 2)

    async def test_redirect_is_not_followed(self):
        async def redirect(server, reader, writer):
            await server.head(reader)
            writer.write(
                b'HTTP/1.1 307 X\r\nlocation: /x\r\ncontent-length: 0\r\n\r\n'
            )

        server = await self.serve(redirect)
        response = await self.client.post('/orders', EMPTY_BODY)
        self.assertEqual((response.status, len(server.heads)), (307, 1))

    async def test_refused_connection_is_known_not_to_have_run(self):
        server = await self.serve(self.close_second)
        unused = client.session(server.url.rsplit(':', 1)[0] + ':1')
        with self.assertRaises(error.ConnectFailedError) as caught:
            await unused.post('/orders', EMPTY_BODY)
        self.assertEqual(caught.exception.ran, base.Ran.NO)

    async def test_injected_header_is_not_sent(self):
        server = await self.serve(self.close_second)
        with self.assertRaises(error.RequestInvalidError):
            await self.client.get('/', [(b'x', b'a\r\nhost: evil')])
        self.assertEqual(server.heads, [])


class BodyTest(ClientTest):
    """A body is complete, or reading it raises an error."""

    async def serve_bytes(self, data, **options):
        async def write(server, reader, writer):
            await server.head(reader)
            writer.write(data)

        return await self.serve(write, **options)

    async def test_cut_answer_is_not_taken_for_whole(self):
        """A caller takes a truncated body for a complete one.

        The server crashes in the middle of its response, and the client
        returns the part received as the body.
        """
        head = b'HTTP/1.1 200 OK\r\n'
        cut_length = head + b'content-length: 9\r\n\r\nhalf'
        cut_chunks = head + b'transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n'
        for data in (cut_length, cut_chunks):
            await self.serve_bytes(data)
            with self.assertRaises(error.ResponseLostError):
                response = await self.client.get('/plan')
                await response.read()

    async def test_stream_gives_pieces_as_they_come(self):
        proceed = asyncio.Event()

        async def two_chunks(server, reader, writer):
            await server.head(reader)
            writer.write(b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n')
            writer.write(b'\r\n1\r\na\r\n')
            await proceed.wait()
            writer.write(b'1\r\nb\r\n0\r\n\r\n')
            await server.head(reader)
            writer.write(scripted_server.make_response(b'next'))

        server = await self.serve(two_chunks)
        response = await self.client.get('/')
        chunks = []
        async for chunk in response.stream():
            chunks.append(chunk)
            proceed.set()
        self.assertEqual(chunks, [b'a', b'b'])
        response = await self.client.get('/')
        self.assertEqual(await response.read(), b'next')
        self.assertEqual(len(server.heads), 2)

    async def test_body_may_be_read_again(self):
        await self.serve_bytes(scripted_server.make_response(b'{}'))
        response = await self.client.get('/')
        self.assertEqual(await response.read(), await response.read())

    async def test_silent_stream_ends_with_an_error(self):
        """A caller waits forever for the rest of a response.

        The connection goes silent in the middle of the response, without a
        reset.
        """

        async def stall(server, reader, writer):
            await server.head(reader)
            writer.write(b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n')
            writer.write(b'\r\n1\r\na\r\n')
            await server.head(reader)

        server = await self.serve(stall, read_timeout_s=0.1)
        response = await self.client.get('/')
        with self.assertRaises(error.ResponseTimeoutError):
            await response.read()
        await asyncio.wait_for(server.lost.wait(), scripted_server.TIMEOUT_S)

    async def test_abandoned_request_closes_its_connection(self):
        """An engine continues to generate a response that nobody reads.

        The caller is cancelled before the head, stops reading within the
        stream, or drops the response unread, and the connection stays open.
        """

        async def endless(server, reader, writer):
            await server.head(reader)
            if b'/hang' in server.heads[-1]:
                await server.head(reader)
            writer.write(b'HTTP/1.1 200 OK\r\n')
            writer.write(b'transfer-encoding: chunked\r\n\r\n')
            while not reader.at_eof():
                writer.write(b'1\r\na\r\n')
                await writer.drain()
                await asyncio.sleep(0)

        async def cancel():
            call = asyncio.create_task(self.client.get('/hang'))
            await asyncio.wait_for(
                server.reached.wait(), scripted_server.TIMEOUT_S
            )
            call.cancel()
            try:
                await call
            except asyncio.CancelledError as exc:
                # Its traceback refers to the connection, which must be closed
                # nevertheless.
                self.kept = exc

        async def leave():
            stream = (await self.client.get('/')).content.stream()
            await anext(stream)
            await stream.aclose()

        async def drop():
            await self.client.get('/')

        for abandon in (cancel, leave, drop):
            with self.subTest(abandon.__name__):
                server = await self.serve(endless)
                await abandon()
                await asyncio.wait_for(
                    server.lost.wait(), scripted_server.TIMEOUT_S
                )

    async def test_late_iterator_does_not_touch_the_next_answer(self):
        """A caller receives chunks of another caller's response.

        The iterator of a finished response is advanced once more after its
        connection was reused for the next request.
        """
        body = b'x' * 100_000

        async def keep(server, reader, writer):
            while True:
                await server.head(reader)
                writer.write(scripted_server.make_response(body))
                await writer.drain()

        await self.serve(keep)
        first = await self.client.get('/')
        await first.read()
        second = await self.client.get('/')
        with self.assertRaises(error.NetError):
            await anext(first.content.stream())
        self.assertEqual(await second.read(), body)
