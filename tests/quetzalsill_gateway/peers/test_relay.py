"""News that others pass on."""

from __future__ import annotations

import asyncio
import collections
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_dev.simulation import clock
from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import pace, revision, upstream, zones
from quetzalsill_gateway.peers import bulletin, frame, relay
from quetzalsill_gateway.watch import news

PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 2**63) | st.binary(max_size=9),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=12,
)


def fleet(count):
    return [(f'10.1.{n // 256}.{n % 256}', 7000) for n in range(count)]


class SpreadTest(unittest.TestCase):
    """Everybody gets it, and nobody sends much."""

    def spread(self, count):
        """Returns how often each gets it, and the most that anybody sends."""
        got = collections.Counter()
        first = list(relay.spread(b'news', fleet(count)))
        most = len(first)
        for address, data in first:
            got[address] += 1
            if data != b'news':
                kind, fields = frame.unpack(data)
                self.assertIs(kind, frame.Kind.RELAY)
                passed, addresses = relay.decode(fields)
                self.assertEqual(passed, b'news')
                got.update(addresses)
                most = max(most, len(addresses))
        return got, most

    def test_everybody_gets_it_once(self):
        for count in (0, 1, 3, 67, 69, 70, 71, 299, 479, 5000):
            with self.subTest(count):
                got, most = self.spread(count)
                self.assertEqual(set(got), set(fleet(count)))
                self.assertLessEqual(max(got.values(), default=1), 1)
                if count in (299, 479):
                    self.assertLess(most, 25)

    def test_small_fleets_are_told_straight(self):
        told = list(relay.spread(b'news', fleet(pace.NEAR - 1)))
        self.assertEqual({data for _, data in told}, {b'news'})

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(PLAIN, max_size=3))
    def test_whatever_comes_is_typed_or_bounded(self, fields):
        try:
            data, addresses = relay.decode(fields)
        except error.PeerError:
            return
        self.assertIsInstance(data, bytes)
        self.assertLessEqual(len(addresses), relay.MOST_ADDRESSES)
        for host, port in addresses:
            self.assertEqual(len(host.split('.')), 4)
            self.assertIn(port, relay.PORTS)


class RepeatTest(unittest.TestCase):
    """What is told again, since datagrams are lost."""

    NOW = revision.Revision(1, 7)

    def told(self, *announced):
        """Returns what goes to others, in order, of news announced in turn."""
        told = []

        async def play():
            broadcast = relay.Broadcast(
                'entry-1',
                lambda: fleet(299),
                lambda data, _: told.append(
                    relay.decode(frame.unpack(data)[1])
                ),
                random.Random(1),
            )
            for one in announced:
                broadcast.announce(one)
                await asyncio.sleep(2.0)

        clock.run(play)
        kinds = [frame.unpack(data) for data, _ in told]
        return [bulletin.decode(*one)[1] for one in kinds]

    def tellings(self, *announced):
        """Returns how often all are told."""
        return len(self.told(*announced)) / len(
            list(relay.spread(b'', fleet(299)))
        )

    def test_what_is_read_at_a_start_is_told_once(self):
        """300 gateways start at once, and each reads both tables.

        Each has heard nobody and so tells all others how far the source has
        come. None of that is new to anybody; told four times it is 2,400
        datagrams to each gateway, while its link is to carry the tables.
        """
        listed = news.MembershipNews(self.NOW, self.NOW, ())
        configured = news.ConfigurationNews(self.NOW, 3, b'')
        self.assertEqual(self.tellings(listed), 1)
        self.assertEqual(self.tellings(configured), 1)
        self.assertEqual(self.tellings(listed, configured), 2)

    def test_what_has_changed_is_told_again(self):
        listed = news.MembershipNews(self.NOW, self.NOW, ())
        gone = upstream.Change('u-1', self.NOW, None)
        changed = news.MembershipNews(revision.NONE, self.NOW, (gone,))
        often = 1 + len(relay.REPEATS_S)
        self.assertEqual(self.tellings(changed), often)
        self.assertEqual(self.tellings(listed, changed), 1 + often)
        lapsed = news.MembershipNews(self.NOW, self.NOW, (), 5.0)
        self.assertEqual(self.tellings(lapsed), often)

    def test_a_configuration_that_has_changed_is_told_again(self):
        often = 1 + len(relay.REPEATS_S)
        first = news.ConfigurationNews(self.NOW, 3, b'')
        second = news.ConfigurationNews(self.NOW, 4, b'')
        self.assertEqual(self.tellings(first, second), 1 + often)
        patched = news.ConfigurationNews(self.NOW, 3, b'p')
        self.assertEqual(self.tellings(patched), often)
        drain = zones.Drain('z', self.NOW, True)
        drained = news.ConfigurationNews(self.NOW, 3, b'', (drain,))
        self.assertEqual(self.tellings(drained), often)


if __name__ == '__main__':
    unittest.main()
