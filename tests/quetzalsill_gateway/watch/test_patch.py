"""Tests of patches between documents."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway import error
from quetzalsill_gateway.watch import patch


def document(routes):
    return json.dumps(
        [{'name': f'route-{n}', 'prefix': f'/{n}/'} for n in routes]
    ).encode()


class PatchTest(unittest.TestCase):
    """Patches for edits."""

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=300), st.binary(max_size=300))
    def test_a_patch_makes_the_document(self, base, found):
        self.assertEqual(patch.apply(base, patch.make(base, found)), found)

    def test_an_edit_of_a_large_document_is_small(self):
        """About 1,500 routes, 60 KB: one is added, removed or moved."""
        base = document(range(1500))
        for edit in (
            range(1501),
            [n for n in range(1500) if n != 700],
            [1499, *range(1499)],
        ):
            made = patch.make(base, document(edit))
            self.assertLess(len(made), 200)
            self.assertEqual(patch.apply(base, made), document(edit))

    def test_one_that_belongs_elsewhere_is_a_typed_failure(self):
        """A gateway has missed the edit before this one."""
        made = patch.make(b'first', b'second')
        with self.assertRaises(error.PatchError):
            patch.apply(b'another', made)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=40))
    def test_damaged_bytes_are_a_typed_failure(self, data):
        good = patch.make(b'base', b'document')
        for found in (data, good[:-1], good[: patch.DIGEST_BYTES] + data):
            with self.assertRaises(error.PatchError):
                patch.apply(b'base', found)

    def test_an_edit_that_changes_everything_gives_no_patch(self):
        noise = bytes((n * n * 7919 >> 5) % 256 for n in range(60_000))
        self.assertIsNone(patch.make(b'', noise))


if __name__ == '__main__':
    unittest.main()
