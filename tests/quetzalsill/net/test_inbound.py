"""Tests of the receiving side of a connection, and of turns."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.net import inbound, turns

HEAD = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'


class FakeTransport:
    """A transport that records whether it is read."""

    def __init__(self):
        self.reading = True

    def is_closing(self):
        return False

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True


class InboundTest(unittest.IsolatedAsyncioTestCase):
    """A reader that ends a message at each empty line."""

    async def asyncSetUp(self):
        self.turns = turns.Turns()
        self.transport = FakeTransport()
        self.pieces = []
        self.inbound = inbound.Inbound(self.feed, self.turns)
        self.inbound.attach(self.transport)
        self.ends = True

    def feed(self, data):
        self.pieces.append(bytes(data))
        if self.ends and b''.join(self.pieces).endswith(b'\r\n\r\n'):
            self.inbound.end_message()

    def receive(self, data):
        """Passes bytes on as they would be read; returns how many."""
        view = self.inbound.buffer()
        size = min(len(view), len(data))
        view[:size] = data[:size]
        self.inbound.receive(size)
        return size

    async def test_the_next_message_waits(self):
        """Messages that are sent ahead are not parsed before their turn."""
        self.receive(HEAD * 3)
        self.assertEqual(self.pieces, [HEAD])
        self.inbound.resume()
        await asyncio.sleep(0)
        self.assertEqual(self.pieces, [HEAD] * 2)
        self.inbound.resume()
        await asyncio.sleep(0)
        self.assertEqual(self.pieces, [HEAD] * 3)
        self.assertTrue(self.transport.reading)

    async def test_little_is_read_ahead(self):
        """A client that sends ahead without end fills the kernel only."""
        self.receive(HEAD)
        taken = 0
        while self.transport.reading:
            taken += self.receive(b'x' * 100_000)
        self.assertLessEqual(taken, inbound.AHEAD_READ_BYTES)

    async def test_a_client_that_leaves_is_noticed(self):
        """One that sent a line end behind its request is still read."""
        self.receive(HEAD + b'\r\n')
        self.assertTrue(self.transport.reading)

    async def test_an_end_in_two_reads_is_found(self):
        """The empty line comes in pieces of every size."""
        for cut in range(1, len(HEAD)):
            with self.subTest(cut=cut):
                self.pieces.clear()
                self.receive(HEAD[:cut])
                self.receive(HEAD[cut:] + b'G')
                self.assertEqual(b''.join(self.pieces), HEAD)
                self.inbound.resume()
                await asyncio.sleep(0)
                self.assertEqual(self.pieces[-1], b'G')
                # The rest of the message that has begun.
                self.receive(HEAD[1:])
                self.inbound.resume()

    async def test_a_body_with_a_length_is_not_searched(self):
        """What looks like an end in a body is part of it."""
        self.ends = False
        self.inbound.body_left = len(HEAD) * 2
        self.receive(HEAD * 2)
        self.assertEqual(self.pieces, [HEAD * 2])
        self.assertEqual(self.inbound.body_left, 0)

    async def test_parsing_leaves_time(self):
        """What is expensive to parse stops neither the loop nor others."""
        self.ends = False
        loop, calls = asyncio.get_running_loop(), []

        def spend(data):
            end_s = loop.time() + turns.BUDGET_S
            while loop.time() < end_s:
                pass
            calls.append(len(data))

        self.inbound = inbound.Inbound(spend, self.turns)
        self.inbound.attach(self.transport)
        other = inbound.Inbound(lambda data: calls.append('other'), self.turns)
        other.attach(FakeTransport())
        size = self.receive(b'x' * 100_000)
        self.assertEqual(len(calls), 1)
        other.buffer()[:1] = b'x'
        other.receive(1)
        while 'other' not in calls:  # noqa: ASYNC110
            await asyncio.sleep(0)
        self.assertLess(len(calls), 4)
        while self.inbound.has_pending:  # noqa: ASYNC110
            await asyncio.sleep(0)
        self.assertEqual(sum(n for n in calls if n != 'other'), size)

    async def test_a_stopped_one_drops_everything(self):
        """After a refusal nothing more is parsed, and no memory is held."""
        self.receive(HEAD * 3)
        self.inbound.stop()
        self.assertFalse(self.inbound.has_pending)
        self.inbound.resume()
        await asyncio.sleep(0)
        self.assertEqual(self.pieces, [HEAD])
