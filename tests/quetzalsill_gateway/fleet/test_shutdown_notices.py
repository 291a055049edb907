"""Notices of shutdown, as one gateway and its peers know them."""

from __future__ import annotations

import types
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import revision, shutdown_notices, upstream
from quetzalsill_gateway.peers import frame, update_codec


class ParseTest(unittest.TestCase):
    """Headers of any content."""

    def test_valid_and_invalid_values(self):
        for values, expected in (
            ([b'1'], True),
            ([b' 1 '], True),
            ([b'0', b'1'], True),
            ([b'0, 1'], True),
            ([b'x', b'1'], True),
            ([b'0'], False),
            ([b''], False),
            ([], False),
            ([b'01'], None),
            ([b'true'], None),
            ([b'0', b'x'], None),
            ([b'\xff'], None),
        ):
            with self.subTest(values=values):
                self.assertIs(shutdown_notices.parse(values), expected)


class ShutdownNoticesTest(unittest.TestCase):
    """Two gateways; updates reach the other when the test delivers them."""

    def setUp(self):
        self.now = 1000.0
        loop = types.SimpleNamespace(
            time=lambda: self.now, call_later=lambda *_: None
        )
        patched = mock.patch('asyncio.get_running_loop', return_value=loop)
        patched.start()
        self.addCleanup(patched.stop)
        self.one, self.other = upstream.Upstreams(), upstream.Upstreams()
        self.announced = []
        self.one.notices.set_announcer(self.announced.append)
        for upstreams in (self.one, self.other):
            self.put(upstreams)

    def put(self, upstreams, version=1, **options):
        found = upstream.Upstream('u', 's', ('10.0.0.1', 1), 'z', **options)
        upstreams.put(found, revision.Revision(0, version))
        return upstreams.get('u')

    def remove(self, upstreams):
        upstreams.remove('u', revision.Revision(0, 2), may_have_lapsed=False)

    def notice(self):
        found = self.one.get('u')
        self.one.mark_leaving(found, 'response', is_shared=True)
        return found

    def test_others_learn_it_once(self):
        for _ in range(3):
            self.notice()
        self.assertEqual(len(self.announced), 1)
        self.other.receive_notices(self.announced[0])
        self.assertTrue(self.other.get('u').leaving)

    def test_a_notice_precedes_the_entry(self):
        """A gateway that starts learns it before it has read the entries."""
        self.notice()
        self.remove(self.other)
        self.other.receive_notices(self.announced[0])
        self.assertTrue(self.put(self.other, 3).leaving)

    def test_an_entry_that_is_back_is_still_leaving(self):
        """The entry lapses and the old one, which says ready, is read again."""
        self.notice()
        self.remove(self.one)
        self.assertTrue(self.put(self.one, 3).leaving)

    def test_a_late_response_marks_the_entry_that_is_back(self):
        """The response was sent to a call made before the entry lapsed."""
        before = self.one.get('u')
        self.remove(self.one)
        self.put(self.one, 3)
        self.one.mark_leaving(before, 'response', is_shared=True)
        self.assertTrue(self.one.get('u').leaving)

    def test_a_drained_entry_that_lapses_is_still_leaving(self):
        """A store restored from a copy lists a drained server as ready."""
        self.put(self.one, 2, leaving=True)
        self.remove(self.one)
        self.assertTrue(self.put(self.one, 3).leaving)
        self.assertEqual(self.announced, [])

    def test_a_lapsed_entry_is_no_notice(self):
        self.remove(self.one)
        self.assertFalse(self.put(self.one, 3).leaving)

    def test_another_incarnation_is_not_leaving(self):
        self.notice()
        self.assertFalse(self.put(self.one, 2, incarnation=2).leaving)

    def test_a_notice_outlasts_a_long_outage(self):
        """The entry lapses, and is back, after hours without the source."""
        self.notice()
        self.now += 10_000.0
        self.one.notices.expire(self.one.all())
        self.remove(self.one)
        self.now += shutdown_notices.RETENTION_S / 2
        self.one.notices.expire([])
        self.assertTrue(self.put(self.one, 3).leaving)

    def test_it_is_repeated_for_a_while_and_not_for_ever(self):
        self.notice()
        found = self.one.notices
        self.assertEqual(found.recent(), found.updates())
        self.now += 61.0
        self.assertEqual((found.recent(), len(found.updates())), ([], 1))

    def test_only_those_that_peers_may_lack_are_repeated(self):
        self.put(self.one, 2, leaving=True)
        self.assertEqual(self.one.notices.updates(), [])


class CodecTest(unittest.TestCase):
    """Datagrams between gateways whose clocks differ."""

    def setUp(self):
        loop = types.SimpleNamespace(time=lambda: 1e5)
        patched = mock.patch('asyncio.get_running_loop', return_value=loop)
        patched.start()
        self.addCleanup(patched.stop)

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.builds(
                shutdown_notices.Notice,
                st.text(max_size=20),
                st.floats(0, 1e5),
            ),
            max_size=4,
        )
    )
    def test_round_trip(self, notices):
        update = shutdown_notices.NoticeUpdate(tuple(notices))
        data = update_codec.encode('entry-1', update)
        node, decoded = update_codec.decode(*frame.unpack(data))
        self.assertEqual((node, decoded.sender), ('entry-1', 'entry-1'))
        for sent, got in zip(notices, decoded.notices, strict=True):
            self.assertEqual(sent.key, got.key)
            self.assertAlmostEqual(sent.given_s, got.given_s, places=6)

    def test_malformed_fields_are_refused(self):
        for fields in (
            [],
            ['entry-1'],
            ['entry-1', 7],
            ['entry-1', ['u']],
            ['entry-1', [('u', 'x')]],
            ['entry-1', [('u', float('nan'))]],
            ['entry-1', [(7, 1.0)]],
            ['entry-1', [('u' * 201, 1.0)]],
            ['entry-1', [('u', 1.0)] * 33],
        ):
            with (
                self.subTest(fields=fields),
                self.assertRaises(error.PeerError),
            ):
                update_codec.decode(frame.Kind.NOTICES, fields)


if __name__ == '__main__':
    unittest.main()
