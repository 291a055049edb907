"""News that others pass on."""

from __future__ import annotations

import collections
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import publish_timing
from quetzalsill_gateway.peers import frame, relay

PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 2**63) | st.binary(max_size=9),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=12,
)


def fleet(count):
    return [(f'10.1.{n // 256}.{n % 256}', 7000) for n in range(count)]


class FanOutTest(unittest.TestCase):
    """Everybody gets it, and nobody sends much."""

    def fan_out(self, count):
        """Returns how often each gets it, and the most that anybody sends."""
        got = collections.Counter()
        first = list(relay.fan_out(b'news', fleet(count)))
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
                got, most = self.fan_out(count)
                self.assertEqual(set(got), set(fleet(count)))
                self.assertLessEqual(max(got.values(), default=1), 1)
                if count in (299, 479):
                    self.assertLess(most, 25)

    def test_small_fleets_are_told_straight(self):
        told = list(
            relay.fan_out(b'news', fleet(publish_timing.SMALL_FLEET - 1))
        )
        self.assertEqual({data for _, data in told}, {b'news'})

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(PLAIN, max_size=3))
    def test_whatever_comes_is_typed_or_bounded(self, fields):
        try:
            data, addresses = relay.decode(fields)
        except error.PeerError:
            return
        self.assertIsInstance(data, bytes)
        self.assertLessEqual(len(addresses), relay.MAX_GROUP_SIZE)
        for host, port in addresses:
            self.assertEqual(len(host.split('.')), 4)
            self.assertIn(port, relay.PORTS)


if __name__ == '__main__':
    unittest.main()
