"""Calls of an app server: bodies stream, and nothing is sent twice."""

from __future__ import annotations

import asyncio
import json
import time
import unittest

from quetzalsill.wire import message
from quetzalsill_dev import service_standin
from tests.quetzalsill_sidecar import support

MEBIBYTE = 1 << 20
DEADLINE_MS = 300


def call(**changes: object) -> dict[str, object]:
    """Changes that make a Dispatch a call."""
    defaults = {'kind': 'call', 'path': '/echo', 'payload': b''}
    return defaults | changes


def body(messages: list[message.Message]) -> bytes:
    """The answer's body."""
    chunks = [msg for msg in messages if isinstance(msg, message.Chunk)]
    return b''.join(item for chunk in chunks for item in chunk.items)


def has_credit(messages: list[message.Message], pieces: int) -> bool:
    """Whether the sidecar has taken so many pieces of a body."""
    return any(
        isinstance(msg, message.Credit) and msg.seq >= pieces
        for msg in messages
    )


def names(headers: list[list[str]]) -> set[str]:
    return {name.lower() for name, _ in headers}


class CallTest(unittest.IsolatedAsyncioTestCase):
    """A plain service beside the sidecar."""

    async def asyncSetUp(self):
        self.service = service_standin.Service()
        url = await self.enterAsyncContext(
            support.serve_app(
                service_standin.make_app(self.service),
                http=service_standin._Protocol,
            )
        )
        self.sidecar = await self.enterAsyncContext(
            support.sidecar(url, kind='app')
        )
        self.router = await self.enterAsyncContext(
            support.router(self.sidecar.port)
        )

    async def test_bodies_stream_both_ways_as_credit_allows(self):
        attempt = self.router.dispatch(**call(payload=b'a', body_open=True))
        expected = b'a'
        messages: list[message.Message] = []
        for number in range(1, 9):
            # Piece `number` has reached the service before the next leaves.
            while not has_credit(messages, number):
                messages.append(await self.router.receive(attempt))
            seen = sum(isinstance(msg, message.Chunk) for msg in messages)
            self.router.send(message.Credit(attempt, seen, 0))
            piece = b'%d' % number * 32_768
            expected += piece
            self.router.send(message.Body(attempt, piece, False))
        self.router.send(message.Body(attempt, b'', True))
        messages += await self.router.receive_all(attempt)
        self.assertEqual(body(messages), expected)
        self.assertIsInstance(messages[-1], message.Finished)

    async def test_body_that_outruns_its_credit_is_not_kept(self):
        """One router's upload takes the sidecar's memory."""
        attempt = self.router.dispatch(**call(body_open=True))
        for _ in range(64):
            self.router.send(message.Body(attempt, b'x' * 32_768, False))
        messages = await self.router.receive_all(attempt)
        self.assertEqual(messages[-1].code, 'outcome_unknown')

    async def test_hop_by_hop_headers_end_here(self):
        headers = [
            ['Connection', 'close, X-Hop'],
            ['X-Hop', '1'],
            ['Upgrade', 'h2c'],
            ['Host', 'ordering.board.example'],
            ['X-Kept', 'yes'],
        ]
        attempt = self.router.dispatch(**call(method='GET', headers=headers))
        messages = await self.router.receive_all(attempt)
        seen = {
            name.lower() for name, _ in json.loads(body(messages))['headers']
        }
        self.assertIn('x-kept', seen)
        self.assertFalse(seen & {'x-hop', 'upgrade'})
        head = next(m for m in messages if isinstance(m, message.Head))
        self.assertNotIn(
            'connection', {name.lower() for name, _ in head.headers}
        )

    async def test_order_without_an_answer_is_unknown_and_sent_once(self):
        """A shop gets the same order twice.

        The service takes the order and closes the connection before it
        answers; a client that resends by itself doubles the order.
        """
        self.service.close_orders = 1
        order = json.dumps({'id': 'truck-7'}).encode()
        attempt = self.router.dispatch(
            **call(path='/orders', payload=order, idempotent=False)
        )
        messages = await self.router.receive_all(attempt)
        failed = messages[-1]
        self.assertEqual(
            (failed.code, failed.ran, failed.gone),
            ('outcome_unknown', 'unknown', False),
        )
        self.assertEqual(self.service.orders['truck-7'], 1)

    async def test_recovery_takes_up_a_call_and_never_makes_one(self):
        """A second truck is sent by asking what became of the first order.

        A router dies; the one that takes its requests over asks the sidecar
        for two orders, of which one had reached it and one had not.
        """
        order = json.dumps({'id': 'truck-8'}).encode()
        changes = call(path='/orders', payload=order, idempotent=False)
        attempt = self.router.dispatch(**changes)
        await self.router.receive_all(attempt)
        async with support.router(self.sidecar.port) as successor:
            successor.dispatch(**changes, attempt=attempt, recover=True)
            messages = await successor.receive_all(attempt)
            self.assertEqual(json.loads(body(messages))['id'], 'truck-8')
            lost = successor.dispatch(**changes, recover=True)
            for _ in range(2):
                failed = (await successor.receive_all(lost))[-1]
                successor.dispatch(**changes, attempt=lost)
                self.assertEqual(
                    (failed.code, failed.ran), ('not_found', 'unknown')
                )
        self.assertEqual(self.service.orders['truck-8'], 1)

    async def test_body_that_lost_its_link_ends_the_call(self):
        """A shop waits for its deadline, and an app server with it.

        The link is lost, or replaced before its loss is noticed, while the
        rest of an order's body is to come; it can't follow on another link.
        """
        for closes in (True, False):
            async with support.router(self.sidecar.port) as lost:
                attempt = lost.dispatch(
                    **call(path='/orders', payload=b'{', body_open=True)
                )
                while not has_credit([await lost.receive(attempt)], 1):
                    pass
                if closes:
                    lost.link.close()
                self.router.send(message.Resume(attempt, 0, 100))
                messages = await self.router.receive_all(attempt)
            self.assertEqual(
                (messages[-1].code, messages[-1].ran),
                ('outcome_unknown', 'unknown'),
            )

    async def test_slow_reader_holds_up_the_service_not_the_memory(self):
        """One merchant on a bad line takes the sidecar's memory.

        A large proof is fetched, and nobody reads it.
        """
        size = 64 * MEBIBYTE
        attempt = self.router.dispatch(
            **call(method='GET', path=f'/large?bytes={size}', credit=2)
        )
        received = 0
        while not received:
            received += len(body([await self.router.receive(attempt)]))
        tail = self.sidecar.attempts.get(attempt).tail
        before = -1
        while before != tail.end:
            before = tail.end
            for _ in range(5):
                small = self.router.dispatch(**call(method='GET'))
                await self.router.receive_all(small)
        self.assertLess(tail.end * 65536, 4 * MEBIBYTE)
        self.router.send(message.Credit(attempt, 0, 1_000_000))
        while received < size:
            msg = await self.router.receive(attempt)
            received += len(body([msg]))
            seen = getattr(msg, 'seq', 0) + 1
            self.router.send(message.Credit(attempt, seen, 0))
        self.assertEqual(received, size)

    async def test_header_that_cannot_be_sent_is_not_run(self):
        headers = [['X-Bad', 'a\r\nX-Injected: 1']]
        messages = await self.router.receive_all(
            self.router.dispatch(**call(headers=headers))
        )
        self.assertEqual([type(m) for m in messages], [message.Refused])
        self.assertEqual(messages[0].code, 'bad_request')


class PauseTest(unittest.IsolatedAsyncioTestCase):
    """A service that answers, and a process that is paused right behind."""

    async def test_an_answer_that_comes_as_the_deadline_passes(self):
        """A shop is told that its order's time ran out, though it is taken."""

        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\ntaken')
            time.sleep(2 * DEADLINE_MS / 1000)
            await reader.read()
            writer.close()

        service = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addAsyncCleanup(service.wait_closed)
        self.addCleanup(service.close)
        port = service.sockets[0].getsockname()[1]
        sidecar = await self.enterAsyncContext(
            support.sidecar(f'http://127.0.0.1:{port}', kind='app')
        )
        router = await self.enterAsyncContext(support.router(sidecar.port))
        attempt = router.dispatch(
            **call(path='/orders', idempotent=False, remaining_ms=DEADLINE_MS)
        )
        messages = await router.receive_all(attempt)
        self.assertIsInstance(messages[-1], message.Finished)
        self.assertEqual(body(messages), b'taken')


if __name__ == '__main__':
    unittest.main()
