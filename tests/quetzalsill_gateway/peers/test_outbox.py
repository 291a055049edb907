"""What goes to all others, behind a thin link."""

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
from quetzalsill_gateway.stream import link_queue, live
from tests.quetzalsill_gateway import quotas

# A link of 10 Mbit/s whose queue holds 50 ms of it.
LINK_BYTES_PER_S = 1_250_000
QUEUE_BYTES = 62_500
HEADERS_BYTES = 28
# Rare news is to be known to all within this time.
NEWS_S = 0.5


class Link:
    """A thin link to the others, in place of a socket.

    Attributes:
      lost: Datagrams for which there was no room.
      sent: Datagrams that went out, by address: their loop times.
    """

    def __init__(self):
        self.lost = 0
        self.sent = {}
        self._free_s = 0.0

    def is_closing(self):
        """It never is."""
        return False

    def close(self):
        """Does nothing."""

    def sendto(self, data, address):
        """Sends a datagram, unless the queue is full."""
        now = asyncio.get_running_loop().time()
        begins_s = max(now, self._free_s)
        size = len(data) + HEADERS_BYTES
        if (begins_s - now) * LINK_BYTES_PER_S + size > QUEUE_BYTES:
            self.lost += 1
            return
        self._free_s = begins_s + size / LINK_BYTES_PER_S
        self.sent.setdefault(address, []).append(self._free_s)


def addresses(count):
    """Returns where other gateways are."""
    return [(f'10.1.{n // 256}.{n % 256}', 7000) for n in range(count)]


class Gateway:
    """One gateway that hears others, and holds something at many engines."""

    def __init__(self, others):
        core = types.SimpleNamespace(
            stats_table=upstream_stats.StatsTable(),
            upstreams=upstream.Upstreams(),
            link_queue=link_queue.LinkQueue(),
            health=source.Health(),
            budget=retry_budget.RetryBudget(0.2, 10.0, 10.0, 16),
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
        self._number = 0

    def hear_all(self):
        """Takes a state of each of the others."""
        self._number += 1
        for number, address in enumerate(addresses(self._others)):
            told = state.State(f'entry-{number}', 1, self._number, {})
            self.exchange.datagram_received(state.encode(told), address)

    def hold(self, engines, tokens):
        """Holds so many tokens at each of so many engines."""
        for number in range(engines):
            stats = self.core.stats_table._get_or_create(f'i-{number:010x}')
            stats.reservations = {upstream_stats.Reservation(10, tokens)}


class ThinLinkTest(unittest.TestCase):
    """What one gateway of a large fleet tells."""

    def test_nothing_of_a_state_is_lost(self):
        """A thin gateway among 300 has its runs at forty engines.

        Told to all at once, its state is longer than the queue of its link:
        the same gateways never hear it, forget it after some seconds, and give
        out the room that its runs take. Callers' answers wait behind the rest.
        """

        async def play():
            gateway = Gateway(299)
            gateway.hear_all()
            await asyncio.sleep(1.0)
            gateway.link.lost = 0
            gateway.link.sent.clear()
            task = asyncio.create_task(gateway.exchange.publish_changes())
            for tokens in range(10):
                gateway.hear_all()
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

    def test_what_others_wait_for_is_out_soon(self):
        async def play():
            gateway = Gateway(299)
            gateway.hear_all()
            await asyncio.sleep(1.0)
            gateway.hold(5, 1000)
            gateway.link.sent.clear()
            begun_s = asyncio.get_running_loop().time()
            gateway.core.live.notify_changed(is_urgent=True)
            await asyncio.sleep(1.0)
            return begun_s, gateway.link.sent

        begun_s, sent = clock.run(play)
        self.assertEqual(len(sent), 299)
        last_s = max(max(times) for times in sent.values())
        self.assertLess(last_s - begun_s, NEWS_S)


class OutboxTest(unittest.TestCase):
    """In which order and when datagrams go out."""

    def play(self, work):
        """Returns what was sent: loop time, datagram and address."""
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

    def test_a_small_fleet_is_told_at_once(self):
        async def work(found):
            found.send(b'a', addresses(3), publish_timing.spread_s(4))

        sent = self.play(work)
        self.assertEqual([at for at, *_ in sent], [0.0] * 3)

    def test_each_hears_in_the_order_in_which_it_is_told(self):
        """A second state is told while the first is still going out.

        Each says only what has changed. Overtaken, the first is left out by
        whoever hears it, with what only it says.
        """

        async def work(found):
            found.send(b'a', addresses(100), 1.0)
            await asyncio.sleep(0.4)
            found.send(b'b', addresses(100), 0.2)

        sent = self.play(work)
        for address in addresses(100):
            heard = [data for _, data, to in sent if to == address]
            self.assertEqual(heard, [b'a', b'b'])
        self.assertLess(max(at for at, *_ in sent), 0.7)

    def test_what_waits_is_bounded(self):
        async def work(found):
            for number in range(1000):
                found.send(b'%d' % number, addresses(100), 1.0)

        sent = self.play(work)
        self.assertLessEqual(len(sent), 100 * (outbox.MAX_QUEUED + 1))
        self.assertEqual(sent[-1][1], b'999')

    def test_a_closed_one_sends_no_more(self):
        async def work(found):
            found.send(b'a', addresses(100), 1.0)
            found.close()

        self.assertLess(len(self.play(work)), 100)


if __name__ == '__main__':
    unittest.main()
