"""Tests of the connection pool and its limits."""

from __future__ import annotations

import asyncio
import types
import unittest

from quetzalsill_gateway import attempt, routing_table
from quetzalsill_gateway.fleet import (
    backoff,
    members,
    revision,
    upstream,
    zones,
)
from quetzalsill_gateway.http import error, message, pool

TIMEOUT_S = 5.0
EXPIRED_IDLE_S = 3600.0


class PoolTest(unittest.IsolatedAsyncioTestCase):
    """Connections to a server that accepts and sends nothing."""

    async def asyncSetUp(self):
        self.server = await asyncio.start_server(
            self.accept, '127.0.0.1', 0, backlog=64
        )
        self.addCleanup(self.server.close)
        self.address = self.server.sockets[0].getsockname()[:2]
        self.pool = pool.Pool()
        self.writers = []
        self.addCleanup(lambda: [writer.close() for writer in self.writers])

    async def accept(self, _, writer):
        self.writers.append(writer)

    async def acquire(self, **kwargs):
        return await self.pool.acquire(
            self.address, max_connections=2, **kwargs
        )

    def count(self):
        return self.pool.connections(self.address).count

    async def test_the_connection_limit_is_enforced(self):
        """A server resets connections beyond its limit, with their requests."""
        for _ in range(2):
            await self.acquire()
        with self.assertRaises(error.ConnectionLimitError):
            await self.acquire()

    async def test_an_idle_connection_is_closed_for_a_new_one(self):
        first = await self.acquire()
        await self.acquire()
        self.pool.release(first)
        new_conn = await self.acquire(repeatable=False)
        self.assertIsNot(new_conn, first)
        self.assertFalse(first.is_usable)
        async with asyncio.timeout(TIMEOUT_S):
            while self.count() > 2:  # noqa: ASYNC110
                await asyncio.sleep(0)

    async def test_an_expired_idle_connection_is_replaced(self):
        """An expired connection must not count towards the limit.

        The call would be refused although its gateway has no other in flight.
        """
        for _ in range(3):
            conn = await self.pool.acquire(self.address, max_connections=1)
            conn.idle_since_s = (
                asyncio.get_running_loop().time() - EXPIRED_IDLE_S
            )
            self.pool.release(conn)
            new_conn = await self.pool.acquire(self.address, max_connections=1)
            self.assertIsNot(new_conn, conn)
            self.assertEqual(self.count(), 1)
            new_conn.abort()

    async def test_an_ended_connection_is_not_counted(self):
        """If ended connections still counted, no more could be opened."""
        for _ in range(20):
            conns = [await self.acquire() for _ in range(2)]
            for conn in conns:
                conn.abort()
            async with asyncio.timeout(TIMEOUT_S):
                while self.count():  # noqa: ASYNC110
                    await asyncio.sleep(0)

    async def test_few_are_kept_idle(self):
        """Idle connections of lost hosts use up a server's limit.

        Requests of returning callers would be reset.
        """
        conns = [await self.pool.acquire(self.address) for _ in range(6)]
        for conn in conns:
            self.pool.release(conn, 2)
        self.assertEqual(self.pool.connections(self.address).idle, 2)

    async def test_a_failed_connection_is_not_counted(self):
        self.server.close()
        await self.server.wait_closed()
        for _ in range(5):
            with self.assertRaises(error.ConnectError) as caught:
                await self.acquire()
            self.assertNotIsInstance(
                caught.exception, error.ConnectionLimitError
            )
        self.assertEqual(self.count(), 0)

    async def test_a_cancelled_connection_attempt_is_not_counted(self):
        for _ in range(20):
            opening = asyncio.create_task(self.acquire())
            await asyncio.sleep(0)
            opening.cancel()
            await asyncio.gather(opening, return_exceptions=True)
            async with asyncio.timeout(TIMEOUT_S):
                while self.count():  # noqa: ASYNC110
                    await asyncio.sleep(0)


class SendRequestTest(unittest.IsolatedAsyncioTestCase):
    """State that changes while a connection is being opened."""

    async def test_nothing_is_sent_to_a_zone_drained_meanwhile(self):
        """A zone is drained between choosing an upstream and sending to it.

        On a slow link connecting takes seconds, so the request would violate
        the drain.
        """
        upstreams = upstream.Upstreams()
        found = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z')
        upstreams.put(found, revision.Revision(0, 1))

        async def acquire(address, **_):
            upstreams.zones.apply_newer(
                [zones.Drain('z', revision.Revision(0, 2), True)]
            )
            return types.SimpleNamespace(send=self.fail)

        core = types.SimpleNamespace(
            upstreams=upstreams,
            dialect=None,
            conns=types.SimpleNamespace(
                acquire=acquire, release=lambda *_: None
            ),
            quota=types.SimpleNamespace(
                max_connections=lambda _: None, max_idle=lambda _: None
            ),
        )
        req = types.SimpleNamespace(
            route=types.SimpleNamespace(kind=routing_table.Kind.IDEMPOTENT)
        )
        with self.assertRaises(error.UpstreamClosedError) as caught:
            async with attempt.send_request(core, req, found, []):
                self.fail('it was sent')
        self.assertFalse(attempt.may_have_run(caught.exception))


class ResumeInPauseTest(unittest.IsolatedAsyncioTestCase):
    """Runs that resume at an upstream that has asked for a pause."""

    async def asyncSetUp(self):
        upstreams = upstream.Upstreams()
        self.found = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z')
        upstreams.put(self.found, revision.Revision(0, 1))
        self.backoffs = backoff.Backoffs(members.Members('entry-1'))
        self.sent = 0

        async def acquire(address, **_):
            return types.SimpleNamespace(send=self.send)

        self.core = types.SimpleNamespace(
            upstreams=upstreams,
            backoffs=self.backoffs,
            quarantine=types.SimpleNamespace(rejects=lambda _: False),
            dialect=types.SimpleNamespace(request_id=b'id'),
            conns=types.SimpleNamespace(
                acquire=acquire, release=lambda *_: None
            ),
            quota=types.SimpleNamespace(
                max_connections=lambda _: None, max_idle=lambda _: None
            ),
        )
        self.req = types.SimpleNamespace(
            route=types.SimpleNamespace(kind=routing_table.Kind.IDEMPOTENT),
            head=lambda *_: b'',
            request=types.SimpleNamespace(body=message.Body(), method=b'GET'),
            request_id=b'1',
        )

    def send(self, *_):
        self.sent += 1
        raise error.ConnectionEndedError('the test ends here')

    async def resume(self):
        async with attempt.send_request(
            self.core, self.req, self.found, [], continues=True
        ):
            self.fail('it was answered')

    def pause(self, value):
        self.backoffs.record_response(self.found, 503, [value], None, 0.0)

    async def test_one_resumes_and_others_go_elsewhere(self):
        """All runs of an engine that ends would reach one that pauses."""
        self.pause(b'60')
        with self.assertRaises(error.ConnectionEndedError):
            await self.resume()
        for _ in range(3):
            with self.assertRaises(error.UpstreamPausingError) as caught:
                await self.resume()
            self.assertFalse(attempt.may_have_run(caught.exception))
        self.assertEqual(self.sent, 1)

    async def test_others_wait_for_an_end_that_is_near(self):
        """A run would be lost for want of a moment's patience."""
        self.pause(b'0.2')
        for _ in range(2):
            with self.assertRaises(error.ConnectionEndedError):
                await self.resume()
        self.assertEqual(self.sent, 2)
        self.assertFalse(self.backoffs.is_pausing(self.found))


if __name__ == '__main__':
    unittest.main()
