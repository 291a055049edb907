"""Tests of peers over real links, with a relay that injects faults."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from quetzalsill.config import document, holder, model
from quetzalsill.platform import hosts
from quetzalsill.settings import section
from quetzalsill.wire import error as wire_error
from quetzalsill.wire import listen, message
from quetzalsill_dev import relay
from quetzalsill_router.peer import error, peers, upload
from tests.quetzalsill_router.peer import fake

BOUND_S = 20.0
TOTAL = 12
CREDENTIAL = 'a-credential-of-the-fleet'
TIMING = section.LinkTiming(idle_s=0.05, silence_s=0.5, connect_s=1.0)


class PeersTest(unittest.IsolatedAsyncioTestCase):
    """A router's peers, one fake sidecar and a relay between them."""

    async def asyncSetUp(self):
        self.engine = fake.Engine(TOTAL)
        self.sidecar = fake.FakeSidecar(1, self.engine)
        self.upstream = 'engine-1'
        self.received = []
        self.announced = set()
        self.server = listen.LinkServer(
            section.Listen(),
            CREDENTIAL,
            lambda hello: self.sidecar.welcome(self.upstream),
            self.on_link,
            TIMING,
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.relay = relay.Relay('127.0.0.1', self.server.port)
        await self.relay.start()
        self.addAsyncCleanup(self.relay.stop)
        self.holder = holder.Holder()
        self.revisions = asyncio.Queue()
        self.cfg = self.configuration(self.relay.port)

    async def on_link(self, conn):
        def put(msg):
            with contextlib.suppress(wire_error.LinkClosedError):
                conn.send_nowait(msg)

        self.sidecar.send = put
        conn.on_revision = self.announced.add
        put(fake.load())
        async for msg in conn.messages():
            self.received.append(msg)
            self.sidecar.take(msg)
            self.sidecar.start_queued()
            self.sidecar.pump()

    def configuration(self, port):
        spec = model.Upstream(
            'model', f'127.0.0.1:{port}', 'dha-hall', models=[fake.MODEL]
        )
        return model.Configuration(upstreams={'engine-1': spec})

    async def linked(self, **kwargs):
        """Starts peers and returns the only peer, linked and with a Load."""
        self.peers = peers.Peers(
            section.Node('entry-1', 'dha-hall'),
            1,
            CREDENTIAL,
            self.holder,
            TIMING,
            on_revision=lambda revision, _: self.revisions.put_nowait(revision),
            **kwargs,
        )
        self.addAsyncCleanup(self.peers.stop)
        self.peers.reconcile(self.cfg, None)
        await self.until(lambda: self.peers.candidates(fake.MODEL))
        return self.peers.get('engine-1')

    async def until(self, condition):
        async with asyncio.timeout(BOUND_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def test_a_router_that_stops_sends_go_away(self):
        """Sidecars wait for seconds for a router that won't reconnect."""
        await self.linked()
        await self.peers.stop()
        await self.until(
            lambda: message.GoAway in [type(msg) for msg in self.received]
        )

    def produce(self, count):
        for work in self.engine.work.values():
            work.made = min(TOTAL, work.made + count)
        self.sidecar.pump()

    async def read(self, attempt, until=message.Finished):
        """Reads and grants items up to a message class or a number of items."""
        items = []
        async with asyncio.timeout(BOUND_S):
            while len(items) != until:
                msg = await attempt.receive()
                if isinstance(msg, message.Chunk):
                    items += msg.items
                    end = msg.seq + len(msg.items)
                    attempt.grant(end, len(msg.items))
                elif isinstance(until, type) and isinstance(msg, until):
                    return items, msg
                else:
                    self.assertIsInstance(msg, message.Started)
        return items, None

    async def test_answer_survives_cut_and_unresponsive_links(self):
        """An answer stops midway or repeats items after its link failed.

        The link breaks after some items, and the next one stops responding
        with both ends open. Each time the attempt must resume at its seq.
        """
        peer = await self.linked()
        attempt = peer.open(fake.dispatch())
        await self.until(lambda: self.engine.work)
        items = []
        for fail in (self.relay.cut, self.relay.silence, self.relay.cut):
            self.produce(3)
            items += (await self.read(attempt, 3))[0]
            fail()
            self.produce(0)
        self.produce(3)
        rest, end = await self.read(attempt)
        self.assertEqual(items + rest, fake.Work(1, TOTAL).items(0, TOTAL))
        self.assertEqual(end.seq, TOTAL)
        self.assertEqual(self.engine.runs, [attempt.id])
        attempt.close()
        await self.until(lambda: attempt.id in self.sidecar.tombstones)
        self.assertEqual(peer.outstanding, 0)

    async def test_a_slow_reader_does_not_stall_another(self):
        peer = await self.linked()
        slow = peer.open(fake.dispatch('r/1/1'))
        fast = peer.open(fake.dispatch('r/1/2'))
        await self.until(lambda: len(self.engine.work) == 2)
        self.produce(TOTAL)
        items, _ = await self.read(fast)
        self.assertEqual(len(items), TOTAL)
        self.assertEqual(slow.next_seq, 4)
        items, _ = await self.read(slow)
        self.assertEqual(len(items), TOTAL)

    async def test_more_than_the_credit_ends_the_link_not_the_answer(self):
        peer = await self.linked()
        attempt = peer.open(fake.dispatch())
        await self.until(lambda: self.engine.work)
        self.produce(TOTAL)
        await self.until(lambda: attempt.next_seq == 4)
        before = self.relay.accepted
        items = fake.Work(1, TOTAL).items(4, 6)
        self.sidecar.send(message.Chunk(attempt.id, 4, items))
        await self.until(lambda: self.relay.accepted > before)
        self.assertEqual(attempt.next_seq, 4)
        items, _ = await self.read(attempt)
        self.assertEqual(len(items), TOTAL)

    async def test_attempt_without_a_link_is_refused_at_once(self):
        peer = await self.linked()
        self.relay.refusing = True
        self.relay.cut()
        await self.until(lambda: not peer.linked)
        self.assertEqual(self.peers.candidates(fake.MODEL), [])
        attempt = peer.open(fake.dispatch())
        _, end = await self.read(attempt, message.Refused)
        self.assertEqual(end.code, 'no_upstream')

    async def test_peer_is_reconnecting_after_a_lost_link(self):
        """A request is refused while the link to its upstream reconnects."""
        peer = await self.linked()
        self.relay.silence()
        self.relay.cut()
        await self.until(lambda: not peer.linked)
        self.assertTrue(self.peers.is_reconnecting(fake.MODEL))
        self.assertFalse(self.peers.is_reconnecting('another-model'))
        await self.until(lambda: peer.linked)
        self.assertFalse(self.peers.is_reconnecting(fake.MODEL))

    async def test_peer_is_not_reconnecting_after_a_refused_dial(self):
        """A request waits for an upstream that is known to be down."""
        peer = await self.linked()
        self.relay.refusing = True
        self.relay.cut()
        await self.until(lambda: not peer.linked)
        await self.until(lambda: not self.peers.is_reconnecting(fake.MODEL))
        self.assertFalse(peer.linked)

    async def test_peer_is_not_reconnecting_after_go_away(self):
        peer = await self.linked()
        self.sidecar.send(message.GoAway('stopping'))
        await self.until(lambda: peer.leaving)
        self.relay.cut()
        await self.until(lambda: not peer.linked)
        self.assertFalse(self.peers.is_reconnecting(fake.MODEL))

    async def test_an_attempt_that_cannot_be_recovered_is_unknown(self):
        """A caller waits for its deadline although the host has failed.

        The sidecar and its host fail after the work was sent and do not
        return. The outcome must be reported within recover_s, once.
        """
        peer = await self.linked(recover_s=0.2)
        attempt = peer.open(fake.dispatch())
        await self.until(lambda: self.engine.work)
        self.relay.refusing = True
        self.relay.cut()
        _, end = await self.read(attempt, message.Failed)
        self.assertEqual((end.code, end.ran), ('outcome_unknown', 'unknown'))
        self.assertFalse(end.gone)
        self.assertIs(await attempt.receive(), end)

    async def test_a_call_is_not_sent_to_a_new_sidecar(self):
        """A call runs twice after its sidecar failed.

        App servers do not keep the outcome of a call, so a second Dispatch to
        a new sidecar could run it again.
        """
        peer = await self.linked()
        attempt = peer.open(fake.dispatch(kind='call', idempotent=False))
        await self.until(lambda: self.engine.work)
        self.sidecar = fake.FakeSidecar(2, self.engine)
        self.relay.cut()
        _, end = await self.read(attempt, message.Failed)
        self.assertNotEqual(end.ran, 'no')
        await self.until(lambda: peer.incarnation == 2)
        self.assertEqual(self.engine.runs, [attempt.id])

    async def test_body_is_sent_with_flow_control(self):
        peer = await self.linked()
        first = bytes(100)
        attempt = peer.open(
            fake.dispatch(kind='call', payload=first, body_open=True)
        )
        size = 2 * upload.WINDOW_BYTES
        sending = asyncio.create_task(attempt.send_body(bytes(size), True))
        # One piece in addition to the first, then one per acknowledgement.
        for taken in range(1, size // upload.PIECE_BYTES):
            await self.until(lambda sent=taken: len(self.bodies()) == sent)
            self.assertFalse(sending.done())
            self.sidecar.send(message.Credit(attempt.id, taken, 1))
        await self.until(lambda: self.bodies() and self.bodies()[-1].last)
        self.assertEqual(sum(len(msg.data) for msg in self.bodies()), size)
        self.relay.cut()
        await self.until(lambda: not peer.linked)
        with self.assertRaises(wire_error.LinkClosedError):
            await attempt.send_body(b'x', True)

    def bodies(self):
        return [msg for msg in self.received if isinstance(msg, message.Body)]

    async def test_leaving_as_reported_by_the_sidecar(self):
        peer = await self.linked()
        self.sidecar.send(message.Leaving('engine-1', 'reclaimed'))
        await self.until(lambda: not self.peers.candidates(fake.MODEL))
        self.relay.cut()
        await self.until(lambda: not peer.linked)
        self.sidecar.send(fake.load(leaving=False))
        await self.until(lambda: self.peers.candidates(fake.MODEL))
        self.sidecar.send(message.GoAway('stopping'))
        self.sidecar.send(fake.load(leaving=False, queued=1))
        await self.until(lambda: peer.load.queued == 1)
        self.assertTrue(peer.leaving)
        self.sidecar = fake.FakeSidecar(2, self.engine)
        self.relay.cut()
        await self.until(lambda: self.peers.candidates(fake.MODEL))
        self.assertEqual((peer.incarnation, peer.load.queued), (2, 0))

    async def test_revision_of_a_replaced_sidecar_is_reset(self):
        """Operators see a revision that the new process does not have."""
        peer = await self.linked()
        self.sidecar.send(fake.load(revision=9))
        await self.until(lambda: peer.revision == 9)
        self.sidecar = fake.FakeSidecar(2, self.engine)
        self.relay.cut()
        await self.until(lambda: peer.incarnation == 2)
        self.assertEqual(peer.revision, 1)

    async def test_unhealthy_or_without_the_model_is_no_candidate(self):
        peer = await self.linked()
        for change in ({'healthy': False}, {'models': []}):
            self.sidecar.send(fake.load(queued=7, **change))
            await self.until(lambda: peer.load.queued == 7)
            self.assertEqual(self.peers.candidates(fake.MODEL), [])
            self.sidecar.send(fake.load())
            await self.until(lambda: self.peers.candidates(fake.MODEL))

    async def test_configuration_goes_both_ways(self):
        peer = await self.linked()
        self.assertEqual(
            await asyncio.wait_for(self.revisions.get(), BOUND_S), 1
        )
        text = document.render(self.cfg)
        fetch = asyncio.create_task(peer.fetch_config(0))
        await self.until(lambda: message.ConfigFetch(0) in self.received)
        self.sidecar.send(message.ConfigReply(1, text))
        self.assertEqual((await fetch).document, text)
        self.holder.install(text, 9)
        self.sidecar.send(message.ConfigFetch(1))
        reply = message.ConfigReply(9, self.holder.document)
        await self.until(lambda: reply in self.received)
        waiting = asyncio.create_task(peer.fetch_config(9))
        await self.until(lambda: message.ConfigFetch(9) in self.received)
        self.relay.cut()
        with self.assertRaises(error.ConfigFetchError):
            await waiting

    async def test_busy_link_announces_a_new_revision(self):
        """An edit is not applied on an upstream while it has work.

        Items in one direction and credits in the other keep the link busy, so
        neither end sends a heartbeat, which would carry the revision.
        """
        peer = await self.linked()

        async def stay_busy():
            while True:
                peer.send(message.Credit('r/1/1', 0, 0))
                self.sidecar.send(fake.load())
                await asyncio.sleep(TIMING.idle_s / 10)

        busy = asyncio.create_task(stay_busy())
        self.addCleanup(busy.cancel)
        self.holder.install(document.render(self.cfg), 2)
        await self.until(lambda: 2 in self.announced)

    async def test_another_upstream_at_the_address_is_not_linked(self):
        """Requests for one engine are sent to another.

        Its host was replaced, and the IP address now belongs to the host of
        another upstream, whose sidecar accepts the dial.
        """
        peer = await self.linked()
        self.upstream = 'engine-2'
        before = self.relay.accepted
        self.relay.cut()
        await self.until(lambda: self.relay.accepted >= before + 2)
        self.assertFalse(peer.linked)

    async def test_a_removed_upstream_ends_with_its_attempts(self):
        peer = await self.linked()
        attempt = peer.open(fake.dispatch())
        await self.until(lambda: self.engine.work)
        self.peers.reconcile(model.Configuration(), None)
        self.assertEqual(self.peers.candidates(fake.MODEL), [])
        self.peers.reconcile(self.cfg, None)
        self.assertIs(self.peers.get('engine-1'), peer)
        self.assertEqual(self.peers.candidates(fake.MODEL), [peer])
        self.peers.reconcile(model.Configuration(), None)
        self.produce(TOTAL)
        await self.read(attempt)
        self.assertTrue(peer.linked)
        attempt.close()
        await self.until(lambda: not peer.linked)
        self.assertTrue(peer.retired)

    async def test_the_host_list_is_a_hint(self):
        """Upstreams are lost because the host list is unavailable or stale.

        A stale list reports a host as leaving that has returned, or has the
        new address before the configuration. The state that the sidecar
        reports takes precedence.
        """
        wrong = self.configuration(1)
        right = f'127.0.0.1:{self.relay.port}'
        listed = hosts.Host(
            'engine-1', 'upstream', right, 'dha-hall', 'leaving'
        )
        self.cfg, cfg = wrong, self.cfg
        router = peers.Peers(
            section.Node('entry-1', 'dha-hall'),
            1,
            CREDENTIAL,
            self.holder,
            TIMING,
        )
        self.addAsyncCleanup(router.stop)
        router.reconcile(wrong, [listed])
        self.assertTrue(router.get('engine-1').leaving)
        await self.until(lambda: router.candidates(fake.MODEL))
        router.reconcile(wrong, None)
        self.assertTrue(router.candidates(fake.MODEL))
        router.reconcile(cfg, None)
        self.assertNotEqual(router.get('engine-1').address, '127.0.0.1:1')


if __name__ == '__main__':
    unittest.main()
