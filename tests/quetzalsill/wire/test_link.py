"""Tests of links: handshake, heartbeats and faulty peers."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import tempfile
import time
import unittest
from unittest import mock

from quetzalsill.net import tls as net_tls
from quetzalsill.settings import section
from quetzalsill.wire import (
    codec,
    dial,
    error,
    frame,
    heartbeat,
    link,
    listen,
    message,
)
from quetzalsill_dev import relay
from tests.quetzalsill.net import certificate

TIMEOUT_S = 20.0


@dataclasses.dataclass(slots=True)
class Timing:
    """Timeouts short enough for a test."""

    idle_s: float = 0.05
    silence_s: float = 0.4
    connect_s: float = 5.0


def hello(credential='secret', version=message.VERSION):
    return message.Hello(version, 'router-1', 1, credential, 'ikeja-hall', 4)


def welcome(_):
    return message.Welcome(
        message.VERSION, 'host-1', 7, 'engine-1', 'ikeja-hall', 5, False
    )


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Both ends of a link in one process, over loopback."""

    async def asyncSetUp(self):
        self.accepted = asyncio.Queue()
        self.received = asyncio.Queue()
        self.ended = asyncio.Queue()
        self.server = await self.serve(Timing())

    async def serve(self, timing, tls=None, **kwargs):
        server = listen.LinkServer(
            section.Listen(),
            'secret',
            welcome,
            self.on_link,
            timing,
            tls,
            **kwargs,
        )
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server

    async def on_link(self, conn):
        await self.accepted.put(conn)
        try:
            async for msg in conn.messages():
                await self.received.put(msg)
        finally:
            await self.ended.put(conn)

    async def dial(self, msg=None, timing=None, port=None, **kwargs):
        conn = await dial.dial(
            '127.0.0.1',
            port or self.server.port,
            msg or hello(),
            timing or Timing(),
            **kwargs,
        )
        self.addCleanup(conn.close)
        return conn

    async def raw(self):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.server.port
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def relay(self):
        proxy = relay.Relay('127.0.0.1', self.server.port)
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        return proxy

    async def test_a_delayed_link_keeps_its_order_and_a_cut_one_ends(self):
        proxy = await self.relay()
        proxy.delay(0.05)
        conn = await self.dial(port=proxy.port)
        remote_end = await self.next_of(self.accepted)
        for number in range(20):
            await conn.send(message.Ack(str(number)))
            await asyncio.sleep(0)
        found = [await self.next_of(self.received) for _ in range(20)]
        self.assertEqual([int(msg.attempt) for msg in found], [*range(20)])
        proxy.cut()
        with self.assertRaises(error.LinkClosedError):
            await self.drain(conn)
        await self.wait_until_ended(remote_end)

    async def next_of(self, queue):
        return await asyncio.wait_for(queue.get(), TIMEOUT_S)

    async def test_messages_pass_both_ways_in_order(self):
        conn = await self.dial()
        remote_end = await self.next_of(self.accepted)
        self.assertEqual(conn.peer.upstream, 'engine-1')
        self.assertEqual(remote_end.peer.node, 'router-1')
        sent = [message.Chunk('a', n, [b'x' * 50_000]) for n in range(40)]
        for msg in sent:
            remote_end.send_nowait(msg)
        await conn.send(message.Ack('a'))
        self.assertEqual(await self.next_of(self.received), message.Ack('a'))
        found = []
        async with asyncio.timeout(TIMEOUT_S):
            async for msg in conn.messages():
                found.append(msg)
                if len(found) == len(sent):
                    break
        self.assertEqual(found, sent)

    async def test_messages_of_one_tick_leave_in_one_write(self):
        conn = await self.dial()
        writes = []
        write = conn._writer.write
        conn._writer.write = lambda data: (writes.append(data), write(data))
        for number in range(10):
            conn.send_nowait(message.Ack(str(number)))
        for _ in range(10):
            await self.next_of(self.received)
        self.assertEqual(len([data for data in writes if len(data) > 30]), 1)

    async def test_handshake_refusals_have_their_code(self):
        for msg, code in (
            (hello(credential='wrong'), 'wrong_credential'),
            (hello(credential='\u00e9'), 'wrong_credential'),
            (hello(version=9), 'version_mismatch'),
            (message.Ack('a'), 'protocol_violation'),
        ):
            with self.assertRaises(error.RejectedError) as caught:
                await self.dial(msg)
            self.assertEqual(caught.exception.reason, code)

    async def test_bad_first_frames_end_that_link_only(self):
        """A port scanner or a faulty router disturbs other links.

        It connects to the sidecar and sends an oversize or malformed first
        frame. It must receive a Reject with the code, and the link of another
        router must keep working.
        """
        conn = await self.dial()
        for data, code in (
            (
                (frame.MAX_HANDSHAKE_BODY_BYTES + 1).to_bytes(4, 'big'),
                'oversize',
            ),
            (frame.pack(b'GET / HTTP/1.1'), 'malformed'),
            (frame.pack(b'\x91\xcc\xfa'), 'unknown'),
        ):
            reader, writer = await self.raw()
            writer.write(data)
            answer = await asyncio.wait_for(reader.read(), TIMEOUT_S)
            reject = codec.decode(answer[4:])
            self.assertIn(code, reject.code)
        await conn.send(message.Ack('still there'))
        self.assertEqual(
            await self.next_of(self.received), message.Ack('still there')
        )

    async def test_bad_frame_after_the_handshake_ends_that_link_only(self):
        conn = await self.dial()
        bad = await self.dial()
        bad._writer.write(frame.pack(b'\xc1'))
        with self.assertRaises(error.RejectedError) as caught:
            await self.drain(bad)
        self.assertEqual(caught.exception.reason, 'malformed_frame')
        await conn.send(message.Ack('b'))
        self.assertEqual(await self.next_of(self.received), message.Ack('b'))

    async def test_a_client_that_never_sends_hello_is_dropped(self):
        """Routers can't connect to a sidecar although it is running.

        Clients connect, send nothing or a byte now and then, and hold the
        connections indefinitely (slow-loris attack).
        """
        self.server = await self.serve(Timing(connect_s=0.2))
        reader, writer = await self.raw()
        writer.write(b'\x00')
        answer = await asyncio.wait_for(reader.read(), TIMEOUT_S)
        self.assertEqual(codec.decode(answer[4:]).code, 'handshake_timeout')

    async def test_a_listener_that_never_responds_times_out(self):
        async def never_answer(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(never_answer, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        with self.assertRaises(error.HandshakeTimeoutError):
            await self.dial(timing=Timing(connect_s=0.2), port=port)

    async def test_a_welcome_that_arrives_at_its_timeout_is_kept(self):
        """After a pause, a router discards a Welcome that has arrived."""
        short = Timing(connect_s=0.1)

        def welcome_and_pause(msg):
            time.sleep(2 * short.connect_s)
            return welcome(msg)

        self.server._welcome = welcome_and_pause
        conn = await self.dial(timing=short)
        self.assertEqual(conn.peer.node, 'host-1')

    async def test_dial_without_a_listener_fails(self):
        server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        with self.assertRaises(error.DialError):
            await self.dial(port=port)

    async def test_heartbeats_carry_the_revision_and_keep_a_link(self):
        seen = asyncio.Queue()
        conn = await self.dial(revision=lambda: 11, on_revision=seen.put_nowait)
        reading = asyncio.create_task(self.drain(conn))
        self.addCleanup(reading.cancel)
        for _ in range(12):
            self.assertEqual(await self.next_of(seen), 5)
        self.assertFalse(conn.closed)

    async def test_a_silent_link_is_dropped_and_a_new_one_works(self):
        """Responses stop in the middle, without an error.

        A middlebox lost its state of the connection: both ends see it open,
        and nothing arrives. The link must end with LinkSilentError, and a new
        link must work.
        """
        proxy = await self.relay()
        for directions in ({}, {'up': False}, {'down': False}):
            conn = await self.dial(port=proxy.port)
            remote_end = await self.next_of(self.accepted)
            proxy.silence(**directions)
            with self.assertRaises(error.LinkClosedError) as caught:
                await self.drain(conn)
            if directions != {'down': False}:
                self.assertIsInstance(caught.exception, error.LinkSilentError)
            with self.assertRaises(error.LinkClosedError):
                conn.send_nowait(message.Ack('a'))
            await self.wait_until_ended(remote_end)
        again = await self.dial(port=proxy.port)
        await again.send(message.Ack('b'))
        self.assertEqual(await self.next_of(self.received), message.Ack('b'))

    async def test_probe_detects_a_dead_idle_link(self):
        """A request on a dead idle link waits half a minute for an error.

        A node with many links pings idle ones rarely. One of them is dead,
        undetected, when a request is assigned to it; from then on it must be
        pinged as often as any link that carries work.
        """
        heartbeat_factor = mock.Mock(return_value=10_000.0)
        self.server = await self.serve(
            Timing(), heartbeat_factor=heartbeat_factor
        )
        proxy = await self.relay()
        for receives_first in (False, True):
            heartbeat_factor.return_value = 10_000.0
            conn = await self.dial(
                port=proxy.port, heartbeat_factor=heartbeat_factor
            )
            received_one = asyncio.Event()
            reading = asyncio.create_task(self.drain(conn, received_one.set))
            remote_end = await self.next_of(self.accepted)
            await asyncio.sleep(4 * Timing().idle_s)
            if receives_first:
                remote_end.send_nowait(message.Ack('a'))
                await asyncio.wait_for(received_one.wait(), TIMEOUT_S)
            proxy.silence()
            heartbeat_factor.return_value = 1.0
            conn.send_nowait(message.Ack('work'))
            conn.probe()
            with self.assertRaises(error.LinkSilentError):
                await reading

    async def test_idle_links_are_pinged_by_the_dialling_end(self):
        for links in (1, 8, 9, 100, 1000):
            dialled, listened = (
                heartbeat.dialling_factor(links),
                heartbeat.listening_factor(links),
            )
            if links <= heartbeat.FULL_RATE_LINKS:
                self.assertEqual((dialled, listened), (1.0, 1.0))
            else:
                self.assertLess(heartbeat.dialling_factor(100_000), listened)
                self.assertAlmostEqual(dialled, min(20.0, links / 8))

    async def test_unsent_bytes_are_limited(self):
        """The process grows until it is killed, with all its requests.

        A peer stops reading without closing its connection, and unsent data
        accumulates. The link must be closed at its limit instead.
        """
        conn = await self.dial()
        remote_end = await self.next_of(self.accepted)
        remote_end._reader._transport.pause_reading()
        body = message.Body('a', bytes(1024 * 1024), False)
        with self.assertRaises(error.LinkOverflowError):
            for _ in range(link.MAX_UNSENT_BYTES // len(body.data) + 64):
                conn.send_nowait(body)
                await asyncio.sleep(0)
        self.assertTrue(conn.closed)

    async def test_links_require_a_valid_certificate(self):
        """An unauthorized node on the network sends work, or receives it.

        One end presents an expired certificate, one of another authority, or
        none; the link must fail before the credential is sent or read.
        """
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        ours = certificate.Authority(pathlib.Path(folder.name), 'ours')
        other = certificate.Authority(pathlib.Path(folder.name), 'other')
        good = ours.issue('good')
        self.authority = good.authority
        bad = [
            ours.issue('expired', -certificate.DAY),
            other.issue('foreign'),
            section.Tls(),
        ]
        conn = await self.dial_tls(good, good)
        await conn.send(message.Ack('a'))
        self.assertEqual(await self.next_of(self.received), message.Ack('a'))
        for one in bad:
            for remote_end, near in ((good, one), (one, good)):
                with self.assertRaises(error.WireError):
                    await self.dial_tls(remote_end, near)

    async def dial_tls(self, remote_end, near):
        near = dataclasses.replace(near, authority=self.authority)
        server = await self.serve(
            Timing(connect_s=1.0), net_tls.server_context(remote_end)
        )
        tls = net_tls.client_context(near)
        return await self.dial(port=server.port, tls=tls)

    async def wait_until_ended(self, conn):
        while await self.next_of(self.ended) is not conn:
            pass

    async def drain(self, conn, on_message=lambda: None):
        async with asyncio.timeout(TIMEOUT_S):
            async for _ in conn.messages():
                on_message()


if __name__ == '__main__':
    unittest.main()
