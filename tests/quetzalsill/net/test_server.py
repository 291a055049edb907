"""Tests of the HTTP server over real sockets."""

from __future__ import annotations

import asyncio
import socket
import unittest

from quetzalsill.net import client_memory, error, protocol, server
from quetzalsill.settings import section
from tests.quetzalsill.net import scripted_server

LARGE = b'x' * 4_000_000
REFUSED = (
    b'HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.2\r\n'
    b'content-length: 0\r\nconnection: close\r\n\r\n'
)


class _App:
    """Small application that exposes the progress of its requests."""

    def __init__(self):
        self.entered = asyncio.Event()
        self.proceed = asyncio.Event()
        self.disconnected = asyncio.Event()
        self.sent = asyncio.Event()

    async def __call__(self, scope, receive, send):
        if scope['type'] != 'http':
            raise NotImplementedError
        self.entered.set()
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                self.disconnected.set()
                return
            if not message['more_body']:
                break
        if scope['path'] == '/wait':
            await self.proceed.wait()
        if scope['path'] == '/rest':
            await self.leave_unsent(send)
            return
        body = LARGE if scope['path'] == '/large' else b'ok'
        length = b'%d' % len(body)
        headers = [(b'content-length', length)]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send({'type': 'http.response.body', 'body': body})
        self.sent.set()

    async def leave_unsent(self, send):
        """Sends until some data is left that the kernel does not accept."""
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': []}
        )
        part = {'type': 'http.response.body', 'body': LARGE[:16384]}
        while not self.unsent():
            await send({**part, 'more_body': True})
        await send({**part, 'body': b''})


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """A faulty or slow client does not affect others."""

    async def asyncSetUp(self):
        self.app = _App()

    async def serve(self, **limits):
        self.server = server.HttpServer(
            self.app, section.Listen(), limits=protocol.Limits(**limits)
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, 0)

    async def test_small_writes_are_not_held_back(self):
        """The second token of a response comes about 40 ms late.

        Nagle's algorithm delays a small write until the client acknowledges
        the previous one, and the client delays that acknowledgement.
        """
        await self.serve()
        await self.connect(b'GET /wait HTTP/1.1\r\nhost: a\r\n\r\n')
        await self.app.entered.wait()
        (conn,) = self.server._connections
        sock = conn.transport.get_extra_info('socket')
        option = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.assertNotEqual(option, 0)
        self.app.proceed.set()

    async def connect(self, data=b''):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.server.port
        )
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def exchange(self, data):
        """Returns all that the server sends until it closes."""
        reader, _ = await self.connect(data)
        async with asyncio.timeout(scripted_server.TIMEOUT_S):
            try:
                return await reader.read()
            except ConnectionResetError:
                return b''

    async def assert_serves(self):
        response = await self.exchange(b'GET / HTTP/1.0\r\n\r\n')
        self.assertTrue(response.startswith(b'HTTP/1.1 200'), response)

    async def test_slow_head_is_cut(self):
        """Callers get no connection although the system is idle.

        One client opens many connections and sends its heads byte by byte, or
        only line ends, and holds each connection indefinitely.
        """
        await self.serve(head_timeout_s=0.1)
        for data in (b'', b'GET / HT', b'\r\n', b'GET / HTTP/1.1\r\nx: y\r\n'):
            response = await self.exchange(data)
            self.assertTrue(response.startswith(b'HTTP/1.1 408'), response)
        await self.assert_serves()

    async def test_line_ends_do_not_hold_an_idle_connection(self):
        """As above, between two requests on one connection."""
        await self.serve(head_timeout_s=0.1)
        reader, writer = await self.connect(b'GET / HTTP/1.1\r\n\r\n')
        await reader.readuntil(b'ok')
        writer.write(b'\r\n')
        response = await asyncio.wait_for(
            reader.read(), scripted_server.TIMEOUT_S
        )
        self.assertTrue(response.startswith(b'HTTP/1.1 408'), response)

    async def test_stalled_body_is_cut(self):
        """A request that is never complete counts against the limits."""
        await self.serve(body_timeout_s=0.1)
        await self.exchange(b'POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nhalf')
        await asyncio.wait_for(
            self.app.disconnected.wait(), scripted_server.TIMEOUT_S
        )
        await self.assert_serves()

    async def test_reader_that_stops_is_cut(self):
        """Responses accumulate in memory for a client that does not read."""
        await self.serve(write_timeout_s=0.1)
        _, writer = await self.connect()
        writer.transport.pause_reading()
        writer.write(b'GET /large HTTP/1.1\r\n\r\n')
        await asyncio.wait_for(
            self.app.entered.wait(), scripted_server.TIMEOUT_S
        )
        self.assertEqual(await self.server.stop(scripted_server.TIMEOUT_S), 0)

    async def test_reader_that_leaves_a_little_is_cut(self):
        """Connections stay open forever after clients stop reading.

        The unsent rest is smaller than the buffer that pauses the writer, so
        that no timeout runs.
        """
        await self.serve(write_timeout_s=0.1)
        self.app.unsent = lambda: any(
            conn.transport.get_write_buffer_size()
            for conn in self.server._connections
        )
        _, writer = await self.connect()
        writer.transport.pause_reading()
        writer.write(b'GET /rest HTTP/1.1\r\nhost: a\r\n\r\n')
        await asyncio.wait_for(
            self.app.entered.wait(), scripted_server.TIMEOUT_S
        )
        self.assertEqual(await self.server.stop(scripted_server.TIMEOUT_S), 0)

    async def test_malformed_and_large_heads_are_refused(self):
        await self.serve(max_head_bytes=1000)
        for head, status in (
            (b'nonsense', b'400'),
            (b'GET / HTTP/1.1\r\na b: c', b'400'),
            (b'GET / HTTP/1.1\r\nx: ' + b'y' * 2000, b'431'),
            (b'GET /' + b'y' * 2000 + b' HTTP/1.1', b'414'),
        ):
            response = await self.exchange(head + scripted_server.HEAD_END)
            self.assertTrue(
                response.startswith(b'HTTP/1.1 ' + status), response
            )
        response = await self.exchange(b'GET / HTTP/1.1\r\nx: ' + b'y' * 2000)
        self.assertTrue(response.startswith(b'HTTP/1.1 431'), response)
        await self.assert_serves()

    async def test_refusal_is_not_spliced_into_an_answer(self):
        """A status line appears in the middle of a response body.

        The client sends malformed data after its request, while the response
        is being sent.
        """
        await self.serve()
        response = await self.exchange(
            b'GET /large HTTP/1.1\r\n\r\nnonsense\r\n'
        )
        head, _, rest = response.partition(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'HTTP/1.1 200'), head)
        self.assertTrue(rest[: len(LARGE)] == LARGE)
        self.assertTrue(rest[len(LARGE) :].startswith(b'HTTP/1.1 400'))

    async def test_body_before_a_next_head_counts_for_no_head(self):
        await self.serve(max_head_bytes=1000)
        reader, _ = await self.connect(
            b'POST / HTTP/1.1\r\ncontent-length: 2000\r\n\r\n'
            + b'x' * 2000
            + b'GET / HT'
        )
        response = await asyncio.wait_for(
            reader.readuntil(b'ok'), scripted_server.TIMEOUT_S
        )
        self.assertTrue(response.startswith(b'HTTP/1.1 200'), response)

    async def test_a_new_client_is_not_evicted_for_the_next_one(self):
        """At the bound, the connection that has idled for longest goes."""
        self.server = server.HttpServer(
            self.app,
            section.Listen(),
            bounds=client_memory.Bounds(4_000_000, 16),
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, 0)
        idle = await self.connect()
        await asyncio.sleep(2 * client_memory.MIN_STALL_S)
        newer = [await self.connect() for _ in range(16)]
        async with asyncio.timeout(scripted_server.TIMEOUT_S):
            self.assertEqual(await idle[0].read(), REFUSED)
            for reader, writer in newer:
                writer.write(b'GET / HTTP/1.0\r\n\r\n')
                response = await reader.read()
                self.assertTrue(response.startswith(b'HTTP/1.1 200'))
        self.assertEqual(self.server.ledger.used_bytes, 0)

    async def test_connections_are_bounded(self):
        await self.serve(max_connections=1)
        await self.connect(b'GET /wait HTTP/1.1\r\n\r\n')
        await asyncio.wait_for(
            self.app.entered.wait(), scripted_server.TIMEOUT_S
        )
        response = await self.exchange(b'GET / HTTP/1.1\r\n\r\n')
        self.assertTrue(response.startswith(b'HTTP/1.1 503'), response)

    async def test_stop_cuts_no_request_and_closes_idle_connections(self):
        """Requests in flight fail at each deployment."""
        await self.serve()
        idle, _ = await self.connect(b'GET / HTTP/1.1\r\n\r\n')
        await idle.readuntil(b'ok')
        self.app.entered.clear()
        busy, _ = await self.connect(b'GET /wait HTTP/1.1\r\n\r\n')
        await asyncio.wait_for(
            self.app.entered.wait(), scripted_server.TIMEOUT_S
        )
        stop = asyncio.create_task(self.server.stop(scripted_server.TIMEOUT_S))
        await asyncio.wait_for(idle.read(), scripted_server.TIMEOUT_S)
        self.assertFalse(stop.done())
        with self.assertRaises(OSError):
            await self.connect()
        self.app.proceed.set()
        self.assertTrue((await busy.read()).endswith(b'ok'))
        self.assertEqual(await stop, 0)

    async def test_stop_waits_for_a_slow_reader(self):
        """The end of a large response is missing after a deployment.

        The process exits when the request's task has ended but its last bytes
        are still buffered.
        """
        await self.serve()
        reader, writer = await self.connect()
        writer.transport.pause_reading()
        writer.write(b'GET /large HTTP/1.1\r\n\r\n')
        await asyncio.wait_for(self.app.sent.wait(), scripted_server.TIMEOUT_S)
        stop = asyncio.create_task(self.server.stop(scripted_server.TIMEOUT_S))
        await asyncio.sleep(0)
        writer.transport.resume_reading()
        response = await reader.read()
        self.assertTrue(response.endswith(LARGE))
        self.assertEqual(await stop, 0)

    async def test_stop_returns_the_requests_aborted_at_its_timeout(self):
        await self.serve()
        await self.connect(b'GET /wait HTTP/1.1\r\n\r\n')
        await asyncio.wait_for(
            self.app.entered.wait(), scripted_server.TIMEOUT_S
        )
        self.assertEqual(await self.server.stop(0.05), 1)

    async def test_taken_port_is_a_typed_failure(self):
        await self.serve()
        second = server.HttpServer(
            self.app, section.Listen(port=self.server.port)
        )
        with self.assertRaises(error.ListenError):
            await second.start()
