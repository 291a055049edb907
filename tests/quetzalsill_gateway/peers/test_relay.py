"""Updates that other gateways relay."""

from __future__ import annotations

import collections
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import publish_timing
from quetzalsill_gateway.peers import frame, relay

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 2**63) | st.binary(max_size=9),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=12,
)


def fleet(count):
    return [(f'10.1.{n // 256}.{n % 256}', 7000) for n in range(count)]


class FanOutTest(unittest.TestCase):
    """Every address gets the update, and no gateway sends much."""

    def fan_out(self, count):
        """Returns how often each address gets it, and the most one sends."""
        received = collections.Counter()
        first = list(relay.fan_out(b'news', fleet(count)))
        max_sent = len(first)
        for address, data in first:
            received[address] += 1
            if data != b'news':
                kind, fields = frame.unpack(data)
                self.assertIs(kind, frame.Kind.RELAY)
                forwarded, addresses = relay.decode(fields)
                self.assertEqual(forwarded, b'news')
                received.update(addresses)
                max_sent = max(max_sent, len(addresses))
        return received, max_sent

    def test_each_address_gets_it_once(self):
        for count in (0, 1, 3, 67, 69, 70, 71, 299, 479, 5000):
            with self.subTest(count):
                received, max_sent = self.fan_out(count)
                self.assertEqual(set(received), set(fleet(count)))
                self.assertLessEqual(max(received.values(), default=1), 1)
                if count in (299, 479):
                    self.assertLess(max_sent, 25)

    def test_small_fleets_are_sent_to_directly(self):
        sent = list(
            relay.fan_out(b'news', fleet(publish_timing.SMALL_FLEET - 1))
        )
        self.assertEqual({data for _, data in sent}, {b'news'})

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(VALUES, max_size=3))
    def test_arbitrary_fields_are_decoded_or_raise_peer_error(self, fields):
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
