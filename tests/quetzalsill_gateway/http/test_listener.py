"""Tests of the HTTP server with valid, invalid and fragmented requests."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill.net import client_memory
from quetzalsill_gateway.http import listener

TIMEOUT_S = 10.0
# The reset overtakes the answer while the client goes on sending.
REFUSALS = (b'HTTP/1.1 431 ', b'HTTP/1.1 408 ', b'HTTP/1.1 400 ', b'<reset>')
HEAD = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    """A listener whose handler records requests and echoes their bodies."""

    async def asyncSetUp(self):
        self.seen = []
        self.limits = listener.Limits(
            header_bytes=2000, body_bytes=1000, header_s=0.3, idle_s=0.3
        )
        self.gate = asyncio.Event()
        self.gate.set()
        self.cancelled = 0
        self.listener = listener.Listener(self.handle, lambda: self.limits)
        await self.listener.start('127.0.0.1', 0)
        watching = asyncio.create_task(self.listener.enforce_timeouts())
        self.addCleanup(watching.cancel)
        self.addCleanup(self.listener.stop)

    async def handle(self, req, responder):
        self.seen.append(req)
        try:
            await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if req.path == b'/fault':
            raise LookupError('a bug in the handler')
        if req.path == b'/cut':
            responder.start(200, [], None)
            responder.write(b'half')
            return
        responder.reply(200, [], bytes(req.body))

    async def send(self, *pieces):
        """Sends the pieces; returns all bytes until the connection ends."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.listener.port
        )
        self.addCleanup(writer.transport.abort)
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0)
        response = b''
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while data := await reader.read(65536):
                    response += data
        except ConnectionError:
            response += b'<reset>'
        return response

    async def test_requests_that_hide_another_are_refused(self):
        """Requests with two framings, or an unknown one, are refused.

        One program on the path would parse what follows as another request,
        and the next one as the body (request smuggling).
        """
        for head in (
            b'Content-Length: 3\r\nTransfer-Encoding: chunked',
            b'Transfer-Encoding: chunked\r\nContent-Length: 3',
            b'Content-Length: 3\r\nContent-Length: 4',
            b'Content-Length: 3\r\nContent-Length: 3',
            b'Transfer-Encoding: gzip, chunked',
            b'Transfer-Encoding: xchunked',
            b'Content-Length: +3',
            b'Content-Length: 3x',
            b'Content-Length : 3',
        ):
            with self.subTest(head):
                hidden = b'0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n'
                response = await self.send(
                    b'POST /a HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n%s'
                    % (head, hidden)
                )
                self.assertTrue(response.startswith(b'HTTP/1.1 400 '), response)
                self.assertIn(b'connection: close', response)
                self.assertEqual(self.seen, [])

    async def test_malformed_requests_are_refused(self):
        for data in (
            b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n',
            b'GET /a\r\n\r\n',
            b'GET /a HTTP/9.9\r\n\r\n',
            b'GET  HTTP/1.1\r\nHost h\r\n\r\n',
            b'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        ):
            with self.subTest(data):
                response = await self.send(data)
                self.assertTrue(response.startswith(b'HTTP/1.1 400 '), response)

    async def flood(self, first, part, interval_s):
        """Sends a part without end; returns the bytes sent and the answer."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.listener.port
        )
        self.addCleanup(writer.transport.abort)
        sent = len(first)
        writer.write(first)
        answer = asyncio.create_task(reader.read(65536))
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(3.0):
                while not answer.done():
                    writer.write(part)
                    sent += len(part)
                    await writer.drain()
                    await asyncio.sleep(interval_s)
        with contextlib.suppress(ConnectionError):
            return sent, await answer
        return sent, b'<reset>'

    async def test_requests_without_end(self):
        """A header, a target or a size line without end fills the memory."""
        head = b'POST /a HTTP/1.1\r\nHost: h\r\n'
        chunked = head + b'Transfer-Encoding: chunked\r\n\r\n'
        filler = b'x' * 1000
        for first, part in (
            (b'GET /', filler),
            (head + b'X-More: ', filler),
            (head, b'X-More: ' + filler + b'\r\n'),
            (chunked + b'5;x=', filler),
            (chunked + b'0\r\n', b'X-More: ' + filler + b'\r\n'),
        ):
            for interval_s in (0.0, 0.05):
                with self.subTest(first=first, interval_s=interval_s):
                    if interval_s:
                        part = part.replace(filler, b'x')
                    sent, answer = await self.flood(first, part, interval_s)
                    self.assertLess(sent, 4_000_000)
                    self.assertIn(answer[:13], REFUSALS)
                    self.assertEqual(self.seen, [])

    async def test_bounds_of_head_and_body(self):
        long = b'GET /a HTTP/1.1\r\nX: %s\r\n\r\n' % (b'x' * 3000)
        self.assertIn(b' 431 ', await self.send(long))
        head = b'POST /a HTTP/1.1\r\nContent-Length: 1001\r\n\r\n'
        self.assertIn(b' 413 ', await self.send(head))
        head = b'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        chunk = b'1f4\r\n%s\r\n' % (b'x' * 500)
        self.assertIn(b' 413 ', await self.send(head, chunk, chunk, chunk))
        self.assertEqual(self.seen, [])

    async def test_a_slow_head_and_an_idle_connection_end(self):
        self.assertIn(b' 408 ', await self.send(b'GET /a HTTP/1.1\r\nHo'))
        response = await self.send(HEAD)
        self.assertEqual(response.count(b'HTTP/1.1 200 '), 1)

    async def test_a_chunked_body_arrives_whole(self):
        head = b'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
        close = b'Connection: close\r\n\r\n'
        body = b'3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n'
        response = await self.send(head + close, body)
        self.assertTrue(response.endswith(b'abcdefg'))

    async def test_100_continue_is_sent_if_expected(self):
        head = b'POST /a HTTP/1.1\r\nContent-Length: 2\r\n'
        response = await self.send(
            head + b'Expect: 100-continue\r\nConnection: close\r\n\r\n', b'ab'
        )
        self.assertTrue(response.startswith(b'HTTP/1.1 100 '))
        self.assertTrue(response.endswith(b'ab'))

    async def test_an_exception_in_the_handler_is_answered(self):
        response = await self.send(b'GET /fault HTTP/1.0\r\n\r\n')
        self.assertIn(b' 502 ', response)

    async def test_a_truncated_response_never_looks_complete(self):
        """A truncated response is recognizable as such.

        A body that ends with its connection would look complete, so the
        connection is reset; a chunked body lacks its last chunk.
        """
        response = await self.send(b'GET /cut HTTP/1.1\r\nHost: h\r\n\r\n')
        self.assertTrue(response.endswith(b'4\r\nhalf\r\n'), response)
        response = await self.send(b'GET /cut HTTP/1.0\r\nHost: h\r\n\r\n')
        self.assertTrue(response.endswith(b'<reset>'), response)

    async def test_a_caller_that_leaves_ends_its_request(self):
        self.gate.clear()
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.listener.port
        )
        writer.write(HEAD)
        async with asyncio.timeout(TIMEOUT_S):
            while not self.seen:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
            writer.close()
            while not self.cancelled:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        self.assertEqual(await reader.read(), b'')

    async def test_a_stopping_listener_closes_its_connections(self):
        self.listener.stopping = True
        response = await self.send(HEAD)
        self.assertIn(b'connection: close', response)

    async def test_requests_come_in_any_pieces(self):
        """The network may split requests at any byte."""
        data = (
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'
            b'GET /b?x=%20 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        )
        for cut in range(1, len(data)):
            self.seen.clear()
            await self.send(data[:cut], data[cut:])
            requests = [(req.target, bytes(req.body)) for req in self.seen]
            self.assertEqual(requests, [(b'/a', b'body'), (b'/b?x=%20', b'')])


class FuzzTest(unittest.TestCase):
    """Random bytes never reach a handler as a partly parsed request."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        st.lists(
            st.sampled_from(
                [
                    b'GET /a HTTP/1.1\r\n',
                    b'POST /b HTTP/1.1\r\n',
                    b'Host: h\r\n',
                    b'Content-Length: 3\r\n',
                    b'Content-Length: 0\r\n',
                    b'Transfer-Encoding: chunked\r\n',
                    b'Connection: close\r\n',
                    b'\r\n',
                    b'abc',
                    b'0\r\n\r\n',
                    b'\x00\xff',
                ]
            ),
            max_size=12,
        )
    )
    def test_any_bytes(self, pieces):
        seen = []

        async def handle(req, responder):
            seen.append(req)
            responder.reply(200, [], b'')

        async def serve_once():
            server = listener.Listener(handle, listener.Limits)
            await server.start('127.0.0.1', 0)
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', server.port
            )
            writer.write(b''.join(pieces))
            writer.write_eof()
            async with asyncio.timeout(TIMEOUT_S):
                with contextlib.suppress(ConnectionError):
                    await reader.read()
            writer.transport.abort()
            server.stop()

        asyncio.run(serve_once())
        for req in seen:
            names = [name for name, _ in req.headers]
            framings = [n for n in names if n in FRAMINGS]
            self.assertLessEqual(len(framings), 1)
            self.assertIn(req.target, (b'/a', b'/b'))


FRAMINGS = (b'content-length', b'transfer-encoding')

if __name__ == '__main__':
    unittest.main()


class LedgerTest(unittest.IsolatedAsyncioTestCase):
    """A listener whose callers leave in every way, and what they held."""

    async def asyncSetUp(self):
        self.limits = listener.Limits(
            header_bytes=2000, body_bytes=400_000, header_s=0.3, idle_s=0.3
        )
        self.listener = listener.Listener(
            self.handle,
            lambda: self.limits,
            client_memory.Bounds(1_000_000, 20),
            lambda target, fields: 0.4,
        )
        await self.listener.start('127.0.0.1', 0)
        watching = asyncio.create_task(self.listener.enforce_timeouts())
        self.addCleanup(watching.cancel)
        self.addCleanup(self.listener.stop)
        self.statuses = []

    async def handle(self, req, responder):
        if req.path == b'/wait':
            await asyncio.sleep(TIMEOUT_S)
        if req.path == b'/fault':
            raise LookupError('a bug in the handler')
        responder.reply(200, [], b'x' * 300_000)

    async def send(self, data, *, leaves=False, interval_s=0.0):
        """Sends bytes, and reads until the end unless it leaves."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.listener.port
        )
        self.addCleanup(writer.transport.abort)
        answer = b''
        with contextlib.suppress(ConnectionError):
            writer.write(data)
            if leaves:
                await asyncio.sleep(0.1)
                writer.transport.abort()
                return b''
            async with asyncio.timeout(TIMEOUT_S):
                while piece := await reader.read(65536):
                    answer += piece
                    if interval_s:
                        writer.write(b'x')
                        await asyncio.sleep(interval_s)
        return answer

    def body(self, size, path=b'/a'):
        head = b'POST %s HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % (path, size)
        return head + b'x' * size

    async def test_all_is_given_back(self):
        """A ledger that leaks refuses everybody in the end."""
        chunked = b'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        for data, leaves in (
            (HEAD, False),
            (HEAD * 20, False),
            (HEAD * 20, True),
            (HEAD[:-2], False),
            (HEAD[:-2], True),
            (self.body(300_000), False),
            (self.body(300_000)[:-1], False),
            (self.body(300_000)[:-1], True),
            (self.body(300_000, b'/wait'), True),
            (self.body(300_000, b'/fault') * 2, False),
            (self.body(500_000), False),
            (chunked + b'400\r\n%s\r\n' % (b'x' * 1024) * 200, True),
            (chunked + b'zz\r\n', False),
            (HEAD + b'\x16\x03\x01\r\n\r\n', False),
            (b'GET / HTTP/1.0\r\n\r\n', False),
            (b'GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n', 0),
        ):
            with self.subTest(data=data[:60], leaves=leaves):
                await asyncio.gather(
                    *(self.send(data, leaves=leaves) for _ in range(4))
                )
                async with asyncio.timeout(TIMEOUT_S):
                    while self.listener.connections:  # noqa: ASYNC110
                        await asyncio.sleep(0.01)
                self.assertEqual(self.listener.ledger.connections, 0)
                self.assertEqual(self.listener.ledger.used_bytes, 0)
                self.assertEqual(self.listener.ledger.body_bytes, 0)

    async def test_an_incomplete_body_under_pressure(self):
        """It is refused as not run, and says when to come again."""
        stalled = asyncio.create_task(self.send(self.body(390_000)[:-1]))
        await asyncio.sleep(0.28)
        others = [
            asyncio.create_task(self.send(self.body(390_000)[:-1]))
            for _ in range(2)
        ]
        answer = await stalled
        self.assertTrue(answer.startswith(b'HTTP/1.1 503 '), answer)
        self.assertIn(b'retry-after: ', answer)
        await asyncio.gather(*others)

    async def test_a_body_that_comes_too_late(self):
        """Each byte renews the time without progress, but not the request's."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.listener.port
        )
        self.addCleanup(writer.transport.abort)
        writer.write(self.body(1000)[:-500])
        answer = asyncio.create_task(reader.read(100))
        for _ in range(40):
            writer.write(b'x')
            await asyncio.sleep(0.05)
            if answer.done():
                break
        self.assertTrue((await answer).startswith(b'HTTP/1.1 408 '))
