"""Sending to all other gateways over a slow link."""

from __future__ import annotations

import asyncio
import random
import types
import unittest

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import retry_budget, source
from quetzalsill_gateway.balance import admission, upstream_stats
from quetzalsill_gateway.fleet import members, publish_timing, upstream
from quetzalsill_gateway.peers import exchange, outbox, state
from quetzalsill_gateway.stream import link_queue, live, loop_delay
from tests.quetzalsill_gateway import quotas

# A link of 10 Mbit/s with a queue of 50 ms.
LINK_BYTES_PER_S = 1_250_000
QUEUE_BYTES = 62_500
HEADERS_BYTES = 28
# Urgent changes have to reach all gateways within this time.
URGENT_S = 0.5


class Link:
    """A slow link to the others, in place of a socket.

    Attributes:
      lost: Number of datagrams that did not fit into the queue.
      sent: Loop times of the datagrams sent, by address.
    """

    def __init__(self):
        self.lost = 0
        self.sent = {}
        self._free_s = 0.0

    def is_closing(self):
        """Returns False: it is never closed."""
        return False

    def close(self):
        """Does nothing."""

    def sendto(self, data, address):
        """Sends a datagram unless the queue is full."""
        now = asyncio.get_running_loop().time()
        starts_s = max(now, self._free_s)
        size = len(data) + HEADERS_BYTES
        if (starts_s - now) * LINK_BYTES_PER_S + size > QUEUE_BYTES:
            self.lost += 1
            return
        self._free_s = starts_s + size / LINK_BYTES_PER_S
        self.sent.setdefault(address, []).append(self._free_s)


def addresses(count):
    """Returns the addresses of other gateways."""
    return [(f'10.1.{n // 256}.{n % 256}', 7000) for n in range(count)]


class Gateway:
    """A gateway with peers that uses many engines."""

    def __init__(self, others):
        core = types.SimpleNamespace(
            stats_table=upstream_stats.StatsTable(),
            upstreams=upstream.Upstreams(),
            link_queue=link_queue.LinkQueue(),
            health=source.Health(),
            budget=retry_budget.RetryBudget(0.2, 10.0, 10.0, 16),
            loop_delay=loop_delay.LoopDelay(),
        )
        core.live = live.LiveStreams(core.stats_table)
        core.members = members.Members('entry-a')
        core.admission = admission.Admission(
            core.upstreams, core.stats_table, 'z', quotas.unbounded()
        )
        self.core = core
        self.link = Link()
        self.exchange = exchange.Exchange(core, 'entry-a', None)
        self.exchange._transport = self.link
        self._others = others
        self._sequence = 0

    def receive_all(self):
        """Receives a state from each of the others."""
        self._sequence += 1
        for number, address in enumerate(addresses(self._others)):
            peer = state.State(f'entry-{number}', 1, self._sequence, {})
            self.exchange.datagram_received(state.encode(peer), address)

    def hold(self, engines, tokens):
        """Uses the given tokens at each of the given number of engines."""
        for number in range(engines):
            stats = self.core.stats_table._get_or_create(f'i-{number:010x}')
            stats.reservations = {upstream_stats.Reservation(10, tokens)}


class SlowLinkTest(unittest.TestCase):
    """What one gateway of a large fleet sends."""

    def test_no_datagram_of_a_state_is_lost(self):
        """One of 300 gateways has a slow link and uses forty engines.

        Sent to all at once, its state is larger than the queue of its link.
        The same gateways never receive it, time the gateway out, and allocate
        the capacity that it uses; responses to callers wait behind the rest.
        """

        async def play():
            gateway = Gateway(299)
            gateway.receive_all()
            await asyncio.sleep(1.0)
            gateway.link.lost = 0
            gateway.link.sent.clear()
            task = asyncio.create_task(gateway.exchange.publish_changes())
            for tokens in range(10):
                gateway.receive_all()
                gateway.hold(40, 1000 + tokens)
                await asyncio.sleep(1.0)
            task.cancel()
            return gateway.link

        link = clock.run(play)
        self.assertEqual(link.lost, 0)
        self.assertEqual(len(link.sent), 299)
        for times in link.sent.values():
            gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
            self.assertLess(max(gaps), publish_timing.peer_timeout_s(300) / 2)

    def test_urgent_state_is_sent_quickly(self):
        async def play():
            gateway = Gateway(299)
            gateway.receive_all()
            await asyncio.sleep(1.0)
            gateway.hold(5, 1000)
            gateway.link.sent.clear()
            start_s = asyncio.get_running_loop().time()
            gateway.core.live.notify_changed(is_urgent=True)
            await asyncio.sleep(1.0)
            return start_s, gateway.link.sent

        start_s, sent = clock.run(play)
        self.assertEqual(len(sent), 299)
        last_s = max(max(times) for times in sent.values())
        self.assertLess(last_s - start_s, URGENT_S)


class OutboxTest(unittest.TestCase):
    """Order and times at which datagrams are sent."""

    def play(self, work):
        """Returns the loop time, datagram and address of each send."""
        sent = []

        async def play():
            loop = asyncio.get_running_loop()
            found = outbox.Outbox(
                lambda data, to: sent.append((loop.time(), data, to)),
                random.Random(1),
            )
            await work(found)
            await asyncio.sleep(5.0)

        clock.run(play)
        return sent

    def test_small_fleet_is_sent_to_immediately(self):
        async def work(found):
            found.send(b'a', addresses(3), publish_timing.spread_s(4))

        sent = self.play(work)
        self.assertEqual([at for at, *_ in sent], [0.0] * 3)

    def test_datagrams_to_one_address_stay_in_order(self):
        """A second delta is queued while the first is still being sent.

        A receiver drops a delta that comes after a newer one, and would miss
        the changes that only the first contains.
        """

        async def work(found):
            found.send(b'a', addresses(100), 1.0)
            await asyncio.sleep(0.4)
            found.send(b'b', addresses(100), 0.2)

        sent = self.play(work)
        for address in addresses(100):
            received = [data for _, data, to in sent if to == address]
            self.assertEqual(received, [b'a', b'b'])
        self.assertLess(max(at for at, *_ in sent), 0.7)

    def test_queue_is_bounded(self):
        async def work(found):
            for number in range(1000):
                found.send(b'%d' % number, addresses(100), 1.0)

        sent = self.play(work)
        self.assertLessEqual(len(sent), 100 * (outbox.MAX_QUEUED + 1))
        self.assertEqual(sent[-1][1], b'999')

    def test_closed_outbox_sends_nothing(self):
        async def work(found):
            found.send(b'a', addresses(100), 1.0)
            found.close()

        self.assertLess(len(self.play(work)), 100)


if __name__ == '__main__':
    unittest.main()
