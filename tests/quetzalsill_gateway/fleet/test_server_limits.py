"""Limits that upstreams name, as one gateway and its peers know them."""

from __future__ import annotations

import math
import types
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import server_limits, upstream
from quetzalsill_gateway.peers import frame, update_codec


class ParseTest(unittest.TestCase):
    """Headers of any content."""

    def test_valid_and_invalid_values(self):
        for values, expected in (
            ([b'2.5'], 2.5),
            ([b' 3 '], 3.0),
            ([b'0'], 0.0),
            ([b'4', b'2'], 2.0),
            ([b'4, 2.5'], 2.5),
            ([b'x', b'7'], 7.0),
            ([b'9' * 400], server_limits.MAX_PER_S),
            ([b''], None),
            ([b'-1'], None),
            ([b'nan'], None),
            ([b'inf'], None),
            ([b'1e3'], None),
            ([b'1_0'], None),
            ([b'\xff'], None),
            ([], None),
        ):
            with self.subTest(values=values):
                self.assertEqual(server_limits.parse(values), expected)


class CodecTest(unittest.TestCase):
    """Datagrams between gateways whose clocks differ."""

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.builds(
                server_limits.Limit,
                st.text(max_size=20),
                st.floats(0, 1e6),
                st.floats(0, 1e5),
                st.just(-math.inf) | st.floats(0, 1e5),
            ),
            max_size=4,
        )
    )
    def test_round_trip(self, limits):
        loop = types.SimpleNamespace(time=lambda: 1e5)
        with mock.patch('asyncio.get_running_loop', return_value=loop):
            data = update_codec.encode(
                'entry-1', server_limits.LimitUpdate(tuple(limits))
            )
            node, decoded = update_codec.decode(*frame.unpack(data))
        self.assertEqual(node, 'entry-1')
        for sent, got in zip(limits, decoded.limits, strict=True):
            self.assertEqual((sent.key, sent.per_s), (got.key, got.per_s))
            self.assertAlmostEqual(sent.named_s, got.named_s, places=6)
            self.assertAlmostEqual(sent.lifted_s, got.lifted_s, places=6)

    def test_malformed_fields_are_refused(self):
        loop = types.SimpleNamespace(time=lambda: 0.0)
        with mock.patch('asyncio.get_running_loop', return_value=loop):
            for fields in (
                [],
                ['entry-1'],
                ['entry-1', 7],
                ['entry-1', [('u', 1.0, 0.0)]],
                ['entry-1', [('u', 'x', 0.0, None)]],
                ['entry-1', [('u', float('nan'), 0.0, None)]],
                ['entry-1', [(7, 1.0, 0.0, None)]],
                ['entry-1', [('u', 1.0, 0.0, None)] * 17],
            ):
                with (
                    self.subTest(fields=fields),
                    self.assertRaises(error.PeerError),
                ):
                    update_codec.decode(frame.Kind.LIMITS, fields)


class ServerLimitsTest(unittest.TestCase):
    """Two gateways; updates reach the other when the test delivers them."""

    def setUp(self):
        self.now = 10.0
        loop = types.SimpleNamespace(time=lambda: self.now)
        patched = mock.patch('asyncio.get_running_loop', return_value=loop)
        patched.start()
        self.addCleanup(patched.stop)
        self.found = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z')
        self.one, self.other = (
            server_limits.ServerLimits(),
            server_limits.ServerLimits(),
        )
        self.announced = []
        self.one.set_announcer(self.announced.append)

    def respond(self, at_s, *values, sent_s=None, is_proved=True, limits=None):
        self.now = at_s
        (limits or self.one).record_response(
            self.found,
            values,
            at_s - 0.01 if sent_s is None else sent_s,
            is_proved=is_proved,
        )

    def per_s(self, limits=None):
        limit = (limits or self.one).in_force(self.found)
        return limit and limit.per_s

    def test_it_holds_while_the_server_is_silent(self):
        self.respond(10.0, b'2.5')
        self.now = 1000.0
        self.assertEqual(self.per_s(), 2.5)

    def test_a_later_response_without_one_lifts_it(self):
        self.respond(10.0, b'2.5')
        self.respond(11.0)
        self.assertIsNone(self.per_s())

    def test_a_response_to_an_earlier_request_does_not_lift_it(self):
        """A slow response, sent before the limit was named, arrives late."""
        self.respond(10.0, b'2.5')
        self.respond(11.0, sent_s=9.9)
        self.assertEqual(self.per_s(), 2.5)

    def test_a_late_response_does_not_bring_it_back(self):
        self.respond(10.0, b'2.5')
        self.respond(12.0, sent_s=11.0)
        self.respond(12.5, b'2.5', sent_s=10.5)
        self.assertIsNone(self.per_s())
        self.respond(13.0, b'1.5')
        self.assertEqual(self.per_s(), 1.5)

    def test_what_may_be_of_somebody_else_does_not_lift_it(self):
        self.respond(10.0, b'2.5')
        self.respond(11.0, is_proved=False)
        self.assertEqual(self.per_s(), 2.5)

    def test_an_invalid_value_changes_nothing(self):
        self.respond(10.0, b'many')
        self.assertIsNone(self.per_s())
        self.respond(11.0, b'2.5')
        self.respond(12.0, b'-1')
        self.assertEqual(self.per_s(), 2.5)

    def test_a_restart_begins_without_one(self):
        self.respond(10.0, b'2.5')
        self.found.incarnation = 2
        self.assertIsNone(self.per_s())

    def test_what_is_gone_is_forgotten_and_what_is_silent_is_not(self):
        """Limits of ended upstreams were repeated to all gateways forever."""
        self.respond(10.0, b'2.5')
        self.now = 1000.0
        self.one.expire([self.found])
        self.assertEqual(self.per_s(), 2.5)
        self.one.expire([])
        self.assertEqual(self.one.updates(), [])
        self.respond(1001.0, b'2.5')
        self.respond(1002.0)
        self.one.expire([self.found])
        self.assertEqual(len(self.one.updates()), 1)
        self.now = 2000.0
        self.one.expire([self.found])
        self.assertEqual(self.one.updates(), [])

    def test_others_learn_it_once_and_when_it_is_lifted(self):
        for at_s in (10.0, 10.5, 11.0):
            self.respond(at_s, b'2.5')
        self.assertEqual(len(self.announced), 1)
        self.other.receive(self.announced[0])
        self.assertEqual(self.per_s(self.other), 2.5)
        self.respond(12.0)
        self.other.receive(self.announced[1])
        self.assertIsNone(self.per_s(self.other))
        self.other.receive(self.announced[0])
        self.assertIsNone(self.per_s(self.other))

    def test_one_gateway_does_not_lift_what_another_was_told_since(self):
        self.respond(10.0, b'2.5')
        self.other.receive(self.announced[0])
        self.respond(12.0, b'2.5', limits=self.other)
        self.respond(12.1, sent_s=11.0)
        for update in self.announced[1:]:
            self.other.receive(update)
        self.assertEqual(self.per_s(self.other), 2.5)


if __name__ == '__main__':
    unittest.main()
