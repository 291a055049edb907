"""Tests of bodies in parts and of fields in one string."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway.http import message

NAMES = st.sampled_from([b'a', b'ab', b'x-a', b'host'])
VALUES = st.binary(max_size=8).filter(lambda value: b'\n' not in value)


class FieldsTest(unittest.TestCase):
    """Fields that are found in the text that holds all of them."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(NAMES, VALUES)))
    def test_fields_are_found_as_in_a_list(self, pairs):
        """A value that looks like another field is not taken for one."""
        fields = message.Fields(pairs)
        self.assertEqual(list(fields), pairs)
        for name in (b'a', b'ab', b'x-a', b'host', b'b'):
            self.assertEqual(
                message.values(fields, name), message.values(pairs, name)
            )
            self.assertEqual(
                message.first(fields, name), message.first(pairs, name)
            )

    def test_they_take_about_what_they_have(self):
        """Lines of a few bytes take forty times as much in a list."""
        fields = message.Fields([(b'a', b'')] * 3000)
        self.assertLess(fields.size, 4 * 3000)


class BodyTest(unittest.TestCase):
    """Bodies that are received in pieces of any size."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.sampled_from([1, 100, 4095, 4096, 65536])))
    def test_parts_join_to_the_body(self, sizes):
        """Small pieces are merged, and all keep their order."""
        pieces = [bytes([n % 256]) * size for n, size in enumerate(sizes)]
        body = message.Body()
        for piece in pieces:
            body.add(piece)
        self.assertEqual(bytes(body), b''.join(pieces))
        self.assertEqual(len(body), sum(sizes))

    def test_bytes_alone_do_not_make_parts(self):
        """A part for each byte would take forty times as much."""
        body = message.Body()
        for _ in range(100_000):
            body.add(b'x')
        self.assertLessEqual(len(body.parts), 2)
