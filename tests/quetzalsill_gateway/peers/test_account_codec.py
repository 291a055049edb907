"""The use of client accounts in datagrams."""

from __future__ import annotations

import unittest

import hypothesis
import msgpack
from hypothesis import strategies

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import account_usage
from quetzalsill_gateway.peers import frame, update_codec

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=300)
    | strategies.binary(max_size=300),
    lambda inner: strategies.lists(inner, max_size=40),
    max_leaves=60,
)
SETTINGS = hypothesis.settings(derandomize=True, deadline=None)


def decode(data):
    return update_codec.decode(*frame.unpack(data))[1]


class AccountCodecTest(unittest.TestCase):
    """Datagrams of kind 12."""

    def test_it_round_trips(self):
        items = tuple(
            account_usage.Item(b'%03d' % index + b'\xff' * 197, 10**7, index)
            for index in range(account_usage.MAX_ITEMS)
        )
        update = account_usage.AccountUpdate(items)
        data = update_codec.encode('g-1', update)
        # It must fit one UDP datagram.
        self.assertLess(len(data), 8_000)
        self.assertEqual(decode(data), update)
        self.assertEqual(decode(data).sender, 'g-1')

    @SETTINGS
    @hypothesis.given(strategies.lists(VALUES, max_size=3))
    def test_the_decoder_takes_anything(self, fields):
        """A faulty sender must not stop the task that receives datagrams."""
        try:
            found = decode(frame.pack(frame.Kind.ACCOUNTS, tuple(fields)))
        except error.PeerError:
            return
        self.assertLessEqual(len(found.items), account_usage.MAX_ITEMS)

    @SETTINGS
    @hypothesis.given(VALUES, VALUES, VALUES)
    def test_items_are_bounded(self, name, tokens, waiting):
        """A huge, negative or wrong value of a faulty sender has no effect."""
        fields = ('g', [(name, tokens, waiting)])
        try:
            [item] = decode(frame.pack(frame.Kind.ACCOUNTS, fields)).items
        except error.PeerError:
            return
        self.assertLessEqual(len(item.account), account_usage.MAX_NAME_BYTES)
        for value in (item.tokens, item.waiting):
            self.assertIs(type(value), int)
            self.assertTrue(0 <= value <= account_usage.MAX_TOKENS)

    def test_invalid_items_are_rejected(self):
        for item in (
            (b'a', -1, 0),
            (b'a', 10**8, 0),
            (b'a', float('nan'), 0),
            (b'a', True, 0),
            ('a', 1, 0),
            (b'a' * 201, 1, 0),
            (b'a', 1),
        ):
            with self.subTest(item=item), self.assertRaises(error.PeerError):
                decode(frame.pack(frame.Kind.ACCOUNTS, ('g', [item])))

    @SETTINGS
    @hypothesis.given(strategies.integers(max(frame.Kind) + 1, 2**32), VALUES)
    def test_an_unknown_kind_raises_peer_error_only(self, kind, value):
        """Old gateways drop kind 12 by this path, during a rolling restart."""
        data = msgpack.packb((frame.VERSION, kind, 'g-1', value))
        with self.assertRaises(error.PeerError):
            frame.unpack(data)
