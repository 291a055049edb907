"""Evidence that an upstream has crashed."""

from __future__ import annotations

import asyncio
import types
import unittest

from quetzalsill_gateway.fleet import quota, revision, upstream
from quetzalsill_gateway.http import pool
from quetzalsill_gateway.quarantine import detector, in_flight

FIRST = revision.Revision(0, 1)


def run_at(found, fingerprint=b'first'):
    """Returns a request in flight at an upstream."""
    exchange = types.SimpleNamespace(
        fingerprint=fingerprint,
        traits=(fingerprint,),
        account=b'depot',
        route=types.SimpleNamespace(name='plan'),
        request=types.SimpleNamespace(path=b'/plan/1'),
        shared_parts=(b'5c1e', b'91bd'),
    )
    return in_flight.Run(exchange, found, conn=None, sent_s=0.0)


class DetectorTest(unittest.IsolatedAsyncioTestCase):
    """A listener that stays, goes or is replaced after a response broke off."""

    async def asyncSetUp(self):
        self.server = await asyncio.start_server(
            lambda reader, writer: writer.close(), '127.0.0.1', 0
        )
        self.addCleanup(self.server.close)
        address = self.server.sockets[0].getsockname()
        self.upstreams = upstream.Upstreams()
        self.found = upstream.Upstream('engine-1', 'writers', address, 'zone-a')
        self.upstreams.put(self.found, FIRST)
        self.crashes = []
        self.detector = detector.Detector(
            pool.Pool(), self.upstreams, self.crashes.append
        )

    async def checked(self, fingerprint=b'first'):
        async with asyncio.timeout(10):
            while self.detector.is_checking(fingerprint):  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def test_a_refused_connection_is_evidence(self):
        self.server.close()
        self.detector.record_broken(run_at(self.found))
        self.detector.record_broken(run_at(self.found, b'second'))
        await self.checked()
        self.assertEqual(self.crashes[0].key, 'engine-1')
        self.assertEqual(set(self.crashes[0].suspects), {b'first', b'second'})

    async def test_a_reset_of_one_stream_is_none(self):
        """A faulty engine that resets streams must not be taken for crashed."""
        self.detector.record_broken(run_at(self.found))
        await self.checked()
        self.assertEqual(self.crashes, [])

    async def test_another_process_at_the_address_is_evidence(self):
        """An engine may be back before anything connects to its address."""
        self.detector.record_broken(run_at(self.found))
        await self.checked()
        self.detector.record_replaced(self.found)
        self.assertEqual([one.key for one in self.crashes], ['engine-1'])

    async def test_another_entry_with_the_address_is_evidence(self):
        self.detector.record_broken(run_at(self.found))
        await self.checked()
        self.upstreams.put(
            upstream.Upstream(
                'engine-2', 'writers', self.found.address, 'zone-a'
            ),
            FIRST,
        )
        async with asyncio.timeout(10):
            while not self.crashes:  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    async def test_a_crash_soon_after_a_reset_is_found(self):
        """An engine resets a stream, and crashes a moment later."""
        self.detector.record_broken(run_at(self.found))
        await self.checked()
        self.server.close()
        self.detector.record_broken(run_at(self.found, b'second'))
        await self.checked(b'second')
        [found] = self.crashes
        self.assertEqual(set(found.suspects), {b'second'})

    async def test_connections_that_close_one_after_the_other(self):
        """An engine crashes, and not all of its runs break off at once."""
        self.server.close()
        conns = types.SimpleNamespace(
            connections=lambda _: quota.Connections(self.open_conns, 0)
        )
        self.open_conns = 1
        found = detector.Detector(conns, self.upstreams, self.crashes.append)
        found.record_broken(run_at(self.found))
        await asyncio.sleep(3 * detector.CLOSE_S)
        self.open_conns = 0
        found.record_broken(run_at(self.found, b'second'))
        async with asyncio.timeout(10):
            while not self.crashes:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.assertEqual(set(self.crashes[0].suspects), {b'first', b'second'})

    async def test_an_upstream_that_was_to_leave_has_not_crashed(self):
        self.server.close()
        self.found.leaving = True
        self.detector.record_broken(run_at(self.found))
        await self.checked()
        self.assertEqual(self.crashes, [])

    async def test_a_run_that_breaks_off_later_is_reported_too(self):
        self.server.close()
        self.detector.record_broken(run_at(self.found))
        await self.checked()
        self.detector.record_broken(run_at(self.found, b'second'))
        self.assertEqual(set(self.crashes[-1].suspects), {b'first', b'second'})


if __name__ == '__main__':
    unittest.main()
