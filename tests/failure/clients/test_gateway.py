"""A gateway beside crowds of clients that misbehave."""

from __future__ import annotations

import asyncio
import itertools

from tests.failure.clients import fixture

BODY_BYTES = 4_194_304
BLOCK = b'x' * 65536


def body_of(size):
    """Yields a body in blocks."""
    blocks, rest = divmod(size, len(BLOCK))
    yield from itertools.repeat(BLOCK, blocks)
    yield BLOCK[:rest]


def ahead(request, count):
    """Returns a payload of many requests that are sent ahead."""
    per_part = max(1, len(BLOCK) // len(request))
    part = request * per_part
    return lambda: itertools.repeat(part, -(-count // per_part))


class GatewayTest(fixture.GatewayTestCase):
    """Memory and descriptors stay within the machine's; callers are served."""

    async def test_heads_of_short_lines_ahead(self):
        """Fields kept one by one take forty times their bytes."""
        request = fixture.head(lines=fixture.SHORT_LINES)
        await self.check_crowd(40, lambda: [request * 16])

    async def test_heads_of_odd_lines_ahead(self):
        """Fields with names and values of one byte, each name another."""
        names = (
            b'%c%c' % (a, b) for a in range(97, 123) for b in range(97, 123)
        )
        lines = b''.join(b'%s:%s\r\n' % (name, name[:1]) for name in names)
        request = fixture.head(lines=lines * 3)
        await self.check_crowd(40, lambda: [request * 16])

    async def test_bodies_short_of_their_end(self):
        """Bodies that trickle at their end are kept as long as they do."""

        def payload():
            yield fixture.head(method=b'POST', lines=fixture.length(BODY_BYTES))
            yield from body_of(BODY_BYTES - 100)
            yield from itertools.repeat(b'x', 50)

        await self.check_crowd(20, payload, interval_s=0.005)

    async def test_whole_bodies_at_once(self):
        """Each body is within its limit; all of them are not in memory."""

        def payload():
            yield fixture.head(method=b'POST', lines=fixture.length(BODY_BYTES))
            yield from body_of(BODY_BYTES)

        await self.check_crowd(40, payload)

    async def test_bodies_in_chunks_of_a_byte(self):
        """Parsing them without a break stops the event loop."""
        chunks = b'1\r\nx\r\n' * 10_000

        def payload():
            yield fixture.head(
                method=b'POST', lines=b'Transfer-Encoding: chunked\r\n'
            )
            yield from itertools.repeat(chunks, BODY_BYTES // 10_000)

        await self.check_crowd(40, payload)

    async def test_unrouted_requests_ahead(self):
        """Their answers are written at once, whether or not they are read."""
        request = b'GET /x HTTP/1.1\r\nHost: shop.example\r\n\r\n'
        await self.check_crowd(40, ahead(request, 200_000))

    async def test_unauthorized_requests_ahead(self):
        """Refusals that their clients do not read fill the write buffer."""
        request = fixture.head(key=b'Authorization: Bearer no-key\r\n')
        await self.check_crowd(40, ahead(request, 100_000))

    async def test_streams_ahead(self):
        """Streams that are requested ahead and not read."""
        request = fixture.head(b'/plan/', fixture.length(0), method=b'POST')
        await self.check_crowd(40, ahead(request, 50_000))

    async def test_expectations_ahead(self):
        """Each asks for an interim answer that its client does not read."""
        lines = b'Expect: 100-continue\r\n' + fixture.length(10)
        request = fixture.head(b'/x/', lines, method=b'POST') + b'x' * 10
        await self.check_crowd(40, ahead(request, 50_000))

    async def test_malformed_bytes_behind_requests(self):
        """The refusal waits behind answers that the client does not read."""
        request = fixture.head() * 1000 + b'\x16\x03\x01\r\n\r\n'
        await self.check_crowd(80, lambda: [request])

    async def test_half_heads(self):
        """Heads that never end."""
        await self.check_crowd(300, lambda: [fixture.head()[:-2]])

    async def test_idle_connections(self):
        """More connections than the process may have descriptors."""
        await self.check_crowd(600, list)

    async def test_answers_unread(self):
        """Large answers to clients that do not read them."""
        for desk in self.desks:
            desk.large_body = b'y' * (2 * BODY_BYTES)
        await self.check_crowd(80, lambda: [fixture.head(b'/safe/large')])

    async def test_a_stop_beside_a_crowd(self):
        """The time to drain requests is not held by clients that stall."""
        request = fixture.head(lines=fixture.SHORT_LINES)
        async with self.crowd(40, lambda: [request * 16]):
            pass
        async with self.crowd(40, lambda: [request * 16], stops=True):
            self.process.terminate()
            self.assertEqual(await self.process.wait(), 0)

    async def test_smaller_limits_beside_open_connections(self):
        """A smaller limit holds for bodies that are being received."""

        def payload():
            yield fixture.head(method=b'POST', lines=fixture.length(BODY_BYTES))
            yield from body_of(BODY_BYTES - 100)

        async with self.crowd(20, payload):
            await asyncio.sleep(1.0)
            self.configure(6, maxBodyBytes=1000, maxHeaderBytes=1000)
        response = await self.request(method='POST', body=b'x' * 900)
        self.assertEqual((response.status, response.complete), (200, True))
        response = await self.request(method='POST', body=b'x' * 1100)
        self.assertEqual(response.status, 413)
