"""One request at each limit of clients, alone, is served."""

from __future__ import annotations

import asyncio

from tests.failure.clients import fixture

HEAD_BYTES = 16_384
BODY_BYTES = 4_194_304
CHUNKED = b'Transfer-Encoding: chunked\r\n'
PAUSES = 4


def fill(head, line):
    """Returns a head that is filled with a line up to the limit."""
    count, rest = divmod(HEAD_BYTES - len(head), len(line))
    lines = line * (count - 1)
    last = b'b:%s\r\n' % (b'y' * (len(line) + rest - 4))
    return head[:-2] + lines + last + b'\r\n'


def chunks(size, body):
    """Returns a body in chunks of a size."""
    pieces = (body[n : n + size] for n in range(0, len(body), size))
    coded = (b'%x\r\n%s\r\n' % (len(piece), piece) for piece in pieces)
    return b''.join(coded) + b'0\r\n\r\n'


class LegalTest(fixture.GatewayTestCase):
    """Each is within the limits of the configuration, which are defaults."""

    async def check_served(self, *parts, pause_s=0.0):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.process.port
        )
        self.addCleanup(writer.transport.abort)
        async with asyncio.timeout(fixture.PATIENCE_S):
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause_s)
            line = await reader.readline()
        self.assertEqual(line, b'HTTP/1.1 200 OK\r\n')

    @property
    def received(self):
        """Body of the request that reached a server."""
        return next(
            body
            for desk in self.desks
            for request_id, _, _, body in desk.runs
            if request_id == 'crowd'
        )

    async def test_head_of_short_lines(self):
        """A head is counted by its bytes as received."""
        head = fill(fixture.head(), b'a:\r\n')
        self.assertEqual(len(head), HEAD_BYTES)
        await self.check_served(head)

    async def test_head_of_one_line(self):
        """One field takes the whole head."""
        await self.check_served(
            fill(fixture.head(), b'a:%s\r\n' % (b'x' * 8000))
        )

    async def test_target_of_a_whole_head(self):
        """The target takes the whole head."""
        size = HEAD_BYTES - len(fixture.head())
        head = fixture.head(b'/safe/' + b'x' * size)
        self.assertEqual(len(head), HEAD_BYTES)
        await self.check_served(head)

    async def test_head_in_pieces(self):
        """The head comes in pieces within its time."""
        head = fill(fixture.head(), b'a:\r\n')
        size = len(head) // PAUSES
        pieces = (head[n : n + size] for n in range(0, len(head), size))
        await self.check_served(*pieces, pause_s=0.3)

    async def test_whole_body(self):
        """The largest body, with its length."""
        body = bytes(range(256)) * (BODY_BYTES // 256)
        lines = fixture.length(BODY_BYTES)
        head = fixture.head(method=b'POST', lines=lines)
        await self.check_served(head, body)
        self.assertEqual(self.received, body)

    async def test_body_in_large_chunks(self):
        """The largest body, in two chunks."""
        body = bytes(range(256)) * (BODY_BYTES // 256)
        head = fixture.head(method=b'POST', lines=CHUNKED)
        await self.check_served(head, chunks(BODY_BYTES // 2, body))
        self.assertEqual(self.received, body)

    async def test_body_in_chunks_of_a_byte(self):
        """A body in the smallest chunks, with line ends in its data."""
        body = b'\r\n\r\n0\r\n\r\n' * 10_000
        head = fixture.head(method=b'POST', lines=CHUNKED)
        await self.check_served(head, chunks(1, body))
        self.assertEqual(self.received, body)

    async def test_body_with_pauses(self):
        """A body that pauses for less than the time that it may."""
        body = b'x' * BODY_BYTES
        head = fixture.head(method=b'POST', lines=fixture.length(BODY_BYTES))
        size = BODY_BYTES // PAUSES
        pieces = (body[n : n + size] for n in range(0, len(body), size))
        await self.check_served(head, *pieces, pause_s=0.5)
        self.assertEqual(self.received, body)

    async def test_requests_ahead(self):
        """Requests that are sent ahead are all answered, in their order."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.process.port
        )
        self.addCleanup(writer.transport.abort)
        paths = [b'/safe/%d' % number for number in range(100)]
        writer.write(b''.join(fixture.head(path) for path in paths))
        async with asyncio.timeout(fixture.PATIENCE_S):
            for _ in paths:
                head = await reader.readuntil(b'\r\n\r\n')
                self.assertTrue(head.startswith(b'HTTP/1.1 200 '), head)
                fields = dict(
                    line.lower().split(b': ', 1)
                    for line in head.split(b'\r\n')[1:-2]
                )
                await reader.readexactly(int(fields[b'content-length']))
        targets = [
            target
            for desk in self.desks
            for _, target, headers, _ in desk.runs
            if headers['x-quetzalsill-attempt-id'] == 'crowd'
        ]
        self.assertEqual(sorted(targets), sorted(p.decode() for p in paths))
