"""A router beside crowds of clients that misbehave."""

from __future__ import annotations

import asyncio
import itertools
import json

from quetzalsill_dev import board, crowd
from tests.failure import fixture, harness
from tests.failure.clients import fixture as clients_fixture

MEMORY_MB = 130
DESCRIPTORS = 400
BODY_BYTES = 4_000_000
HEAD_BYTES = 32_768
SERVICE_BYTES = 16_777_216
BLOCK = b'x' * 65536
TOKEN = f'Authorization: Bearer {board.TOKENS["retailers"]}\r\n'.encode()
ORDER = b'POST /services/ordering/orders HTTP/1.1\r\nHost: h\r\n' + TOKEN


class RouterTest(fixture.ClusterTestCase):
    """Memory and descriptors stay within the machine's; callers are served."""

    CHANGES = {
        'router': {
            'machine': {
                'memory_mb': MEMORY_MB,
                'file_descriptors': DESCRIPTORS,
            }
        }
    }

    async def check_crowd(self, count, payload, **kwargs):
        router = next(iter(self.cluster.routers.values()))
        clients = crowd.Crowd(router.port, count, payload, **kwargs)
        async with (
            crowd.watch(router.pid, router.port) as peak,
            clients.present(clients_fixture.CROWD_S),
        ):
            pass
        print(
            f'{self.id()}: {clients.attempts} connections,'
            f' {peak.memory_mb:.0f} MB, {peak.descriptors} descriptors'
        )
        self.assertTrue(router.running, 'the process has ended')
        self.assertLess(peak.memory_mb, MEMORY_MB)
        self.assertLess(peak.descriptors, DESCRIPTORS)
        result = await harness.send_order(router, 'after the crowd')
        self.assertTrue(result.succeeded, result)

    async def test_heads_of_short_lines_ahead(self):
        """Fields kept one by one take forty times their bytes."""
        head = ORDER + b'a:\r\n' * 3000 + b'Content-Length: 0\r\n\r\n'
        await self.check_crowd(40, lambda: [head * 16])

    async def test_small_requests_ahead(self):
        """Thousands of requests come with one read."""
        request = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
        part = request * (len(BLOCK) // len(request))
        await self.check_crowd(40, lambda: itertools.repeat(part, 200))

    async def test_bodies_short_of_their_end(self):
        """Bodies that trickle at their end are kept as long as they do."""
        head = b'POST /v1/completions HTTP/1.1\r\nHost: h\r\n' + TOKEN

        def payload():
            yield head + b'Content-Length: %d\r\n\r\n' % BODY_BYTES
            yield from itertools.repeat(BLOCK, BODY_BYTES // len(BLOCK))
            yield from itertools.repeat(b'x', 50)

        await self.check_crowd(40, payload, interval_s=0.005)

    async def test_idle_connections(self):
        """More connections than the process may have descriptors."""
        await self.check_crowd(600, list)

    async def check_served(self, head, body):
        router = next(iter(self.cluster.routers.values()))
        reader, writer = await asyncio.open_connection('127.0.0.1', router.port)
        self.addCleanup(writer.transport.abort)
        writer.write(head + body)
        async with asyncio.timeout(clients_fixture.PATIENCE_S):
            line = await reader.readline()
        self.assertEqual(line, b'HTTP/1.1 200 OK\r\n')

    async def test_a_head_at_the_limit(self):
        """A single legal head of short lines is served."""
        body = json.dumps({'id': 'legal head'}).encode()
        head = ORDER + b'Content-Length: %d\r\n\r\n' % len(body)
        lines = b'a:\r\n' * ((HEAD_BYTES - len(head)) // 4)
        await self.check_served(head[:-2] + lines + b'\r\n', body)

    async def test_a_body_at_the_limit(self):
        """A single legal body, the largest of a service, is served."""
        body = json.dumps({'id': 'legal body'}).encode().ljust(SERVICE_BYTES)
        head = ORDER + b'Content-Length: %d\r\n\r\n' % len(body)
        await self.check_served(head, body)
