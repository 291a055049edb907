"""docs/PROOFS.md names tests that exist."""

from __future__ import annotations

import pathlib
import pkgutil
import re
import unittest

PROOFS = pathlib.Path(__file__).parents[1] / 'docs' / 'PROOFS.md'
TEST = re.compile(r'`(tests(?:\.\w+)+)`')


class ProofsTest(unittest.TestCase):
    """Each row names a test, or says why there is none."""

    def test_each_named_test_exists(self):
        """A row names a test that was renamed or removed."""
        for name in TEST.findall(PROOFS.read_text()):
            with self.subTest(name):
                found = pkgutil.resolve_name(name)
                if not isinstance(found, type):
                    self.assertRegex(found.__name__, '^(test|runTest)')
                    found = pkgutil.resolve_name(name.rpartition('.')[0])
                self.assertTrue(issubclass(found, unittest.TestCase))

    def test_each_row_names_a_test_or_says_that_it_is_not_proved(self):
        table = PROOFS.read_text().partition('|---')[2]
        rows = [line for line in table.splitlines()[1:] if line[:1] == '|']
        for row in rows:
            with self.subTest(row):
                self.assertTrue(TEST.search(row) or 'not proved:' in row)


if __name__ == '__main__':
    unittest.main()
