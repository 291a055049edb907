"""Tests of `quetzalsill.platform.exchange` through the platform clients."""

from __future__ import annotations

import asyncio
import time
import unittest

from quetzalsill.platform import error, table
from tests.quetzalsill.platform import standin

TIMEOUT_S = 0.5
WAIT_TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 0.1
CREATE = [table.Condition('t', 'row', 0)]
WRITE = [table.Write('t', 'row', {'n': 1})]


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Clients with the platform stand-in, over real connections."""

    async def asyncSetUp(self):
        self.standin = await standin.start(self, 'all')
        await self.open_clients(self.standin.url)
        self.switches = self.standin.faults.switches
        self.counts = self.standin.faults.counts

    async def open_clients(self, url):
        self.clients = await standin.open_clients(self, url, TIMEOUT_S)
        self.table = self.clients.table

    async def wait_for_health(self, up):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while self.clients.health.up is not up:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_rows(self):
        key = 'a/b c%?é'
        self.assertIsNone(await self.table.get('t', key))
        conditions = [table.Condition('t', key, 0)]
        writes = [table.Write('t', key, 1), table.Write('t', 'b', 2)]
        self.assertEqual(await self.table.transact(conditions, writes), [1, 1])
        self.assertEqual(await self.table.get('t', key), table.Row(1, 1))
        with self.assertRaises(error.ConditionFailedError) as caught:
            await self.table.transact(
                conditions, [table.Write('t', 'c', 3), *writes]
            )
        failed = caught.exception
        self.assertEqual(
            (failed.index, failed.version, failed.value), (0, 1, 1)
        )
        self.assertEqual(
            await self.table.scan('t'),
            [table.KeyedRow(key, 1, 1), table.KeyedRow('b', 1, 2)],
        )
        self.assertEqual(len(await self.table.page('t', '', key, 5)), 1)

    async def test_objects(self):
        objects = self.clients.objects
        large = bytes(1_000_000)
        await objects.put('a/ü', large, create_only=True)
        with self.assertRaises(error.ObjectExistsError):
            await objects.put('a/ü', b'', create_only=True)
        self.assertEqual(await objects.get('a/ü'), large)
        await objects.put('a/ü', b'')
        self.assertEqual(await objects.get('a/ü'), b'')
        self.assertEqual(await objects.list('a/'), ['a/ü'])
        await objects.delete('a/ü')
        self.assertIsNone(await objects.get('a/ü'))

    async def test_response_lost_after_the_write(self):
        """The store applies a write and closes the connection unanswered."""
        self.switches.lose_answers = 1
        with self.assertRaises(error.PlatformAnswerLostError):
            await self.table.transact(CREATE, WRITE)
        self.assertEqual(self.counts['transact'], 1)
        row = await self.table.get('t', 'row')
        self.assertEqual(row, table.Row(1, {'n': 1}))
        self.assertTrue(self.clients.health.up)

    async def test_silence_after_a_lost_response(self):
        """The store becomes silent with the response that it loses."""
        self.switches.lose_answers = 2
        self.switches.silent_after_loss = True
        for key in ('first', 'second'):
            self.assertFalse(self.switches.silent)
            with self.assertRaises(error.PlatformAnswerLostError):
                await self.table.transact([], [table.Write('t', key, 1)])
        with self.assertRaises(error.PlatformAnswerLostError):
            await self.table.transact(CREATE, WRITE)
        self.assertEqual(self.counts['transact'], 2)
        self.switches.silent = False
        self.assertEqual(await self.table.transact(CREATE, WRITE), [1])

    async def test_store_down(self):
        """The store rejects every call for a while.

        Writes must be reported as having no effect, the health state must let
        requests be rejected without a call, and it must recover with the store
        without traffic.
        """
        self.switches.down = True
        with self.assertRaises(error.PlatformUnavailableError):
            await self.table.transact(CREATE, WRITE)
        await self.wait_for_health(up=False)
        self.assertGreaterEqual(self.clients.health.retry_after_s(), 1.0)
        self.switches.down = False
        await self.wait_for_health(up=True)
        self.assertIsNone(await self.table.get('t', 'row'))

    async def test_store_refuses_connections(self):
        """The store's process has stopped; its port refuses connections.

        Nothing can have been written, so the outcome of a write is known.
        """
        await self.standin.stop()
        with self.assertRaises(error.PlatformUnavailableError):
            await self.table.transact(CREATE, WRITE)
        await self.wait_for_health(up=False)

    async def test_unresponsive_connections(self):
        """Open connections to the store stop responding; new ones work.

        All keep-alive connections of a client are dead at once without being
        closed. One read must time out and succeed on its second attempt; no
        later call may use one of the dead connections.
        """
        reads = [self.table.get('t', str(i)) for i in range(8)]
        await asyncio.gather(*reads)
        self.standin.faults.mute_open()
        self.assertIsNone(await self.table.get('t', 'row'))
        self.assertEqual(self.counts['silent'], 1)
        self.assertEqual(await self.table.transact(CREATE, WRITE), [1])
        await asyncio.gather(*(self.table.get('t', str(i)) for i in range(8)))
        self.assertEqual(self.counts['silent'], 1)
        self.assertTrue(self.clients.health.up)

    async def test_write_on_an_unresponsive_connection(self):
        """A write is sent on a connection that has stopped responding.

        The client cannot know whether it arrived, so it must report an unknown
        outcome within the timeout, and the next call must open a new
        connection.
        """
        await self.table.get('t', 'row')
        self.standin.faults.mute_open()
        with self.assertRaises(error.PlatformAnswerLostError):
            await self.table.transact(CREATE, WRITE)
        self.assertEqual(await self.table.transact(CREATE, WRITE), [1])

    async def test_store_does_not_respond(self):
        """The store accepts connections and never responds.

        Every call must end within its timeout, the probes must continue, and
        the health state must change to down and back to up.
        """
        self.switches.silent = True
        with self.assertRaises(error.PlatformUnavailableError):
            await self.table.get('t', 'row')
        await self.wait_for_health(up=False)
        self.switches.silent = False
        await self.wait_for_health(up=True)

    async def test_truncated_response(self):
        """A server announces 100 bytes, sends fewer of them and closes.

        A truncated journal must not be read as complete, and a truncated
        response to a write leaves its outcome unknown.
        """

        async def respond_partially(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n')
            writer.write(b'content-type: application/json\r\n\r\n{"versions":')
            writer.close()

        server = await asyncio.start_server(respond_partially, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        await self.open_clients(f'http://127.0.0.1:{port}')
        with self.assertRaises(error.PlatformUnavailableError):
            await self.clients.objects.get('journal')
        with self.assertRaises(error.PlatformAnswerLostError):
            await self.table.transact(CREATE, WRITE)


class PauseTest(unittest.IsolatedAsyncioTestCase):
    """The process is paused right after the store has responded."""

    async def asyncSetUp(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addAsyncCleanup(self.server.wait_closed)
        self.addCleanup(self.server.close)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.clients = await standin.open_clients(
            self, f'http://{host}:{port}', SHORT_TIMEOUT_S
        )

    async def serve(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        body = b'{"version": 1, "value": 7, "versions": [1]}'
        writer.write(
            b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
            b'content-length: %d\r\n\r\n%s' % (len(body), body)
        )
        if head.startswith((b'GET', b'POST')):
            time.sleep(2 * SHORT_TIMEOUT_S)
        await reader.read()
        writer.close()

    async def test_response_arrives_at_the_timeout(self):
        """Guards against rejecting a request although the store responded."""
        row = await self.clients.table.get('t', 'row')
        self.assertEqual(row, table.Row(1, 7))

    async def test_write_is_answered_at_the_timeout(self):
        """Guards against reporting an applied write as possibly lost."""
        versions = await self.clients.table.transact(CREATE, WRITE)
        self.assertEqual(versions, [1])


if __name__ == '__main__':
    unittest.main()
