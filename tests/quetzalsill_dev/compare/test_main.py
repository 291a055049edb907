"""The command that compares ways, on a stand-in of the bench."""

from __future__ import annotations

import json
import pathlib
import sys
import tempfile
import unittest

from click import testing

from quetzalsill_dev.compare import __main__ as command

# Writes a report whose worth is that of the checkout's file, and counts plays.
BENCH = """#!{python}
import json, pathlib, sys
words = sys.argv
report = pathlib.Path(words[words.index('--report') + 1])
worth = float(pathlib.Path('worth').read_text())
with open('plays', 'a') as plays:
    plays.write('x')
if worth < 0:
    sys.exit('it fell over')
report.write_text(json.dumps({{
    'G': worth, 'served': 0.9, 'classes': [], 'prices': [], 'breaks': {{}},
    'all': {{'late': 0, 'refused': 0, 'failed': 0}},
}}))
"""


class CompareTest(unittest.TestCase):
    """Two checkouts, one site, two seeds."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        bench = self.root / 'bench'
        bench.write_text(BENCH.format(python=sys.executable))
        bench.chmod(0o755)
        (self.root / 'site.toml').write_text('')

    def way(self, name, worth):
        folder = self.root / name
        folder.mkdir(exist_ok=True)
        (folder / 'worth').write_text(str(worth))
        return folder

    def plays(self, name):
        return len((self.root / name / 'plays').read_text())

    def compare(self):
        words = ['--bench', str(self.root / 'bench'), '--day', 'quiet-1']
        for name in ('before', 'after'):
            words += ['--way', str(self.root / name)]
        words += ['--site', str(self.root / 'site.toml')]
        words += ['--seed', '1', '--seed', '2']
        words += ['--folder', str(self.root / 'kept')]
        found = testing.CliRunner().invoke(command.main, words)
        self.assertEqual(found.exit_code, 0, found.output)
        return found.output

    def test_the_difference_is_told_and_kept(self):
        self.way('before', 0.5)
        self.way('after', 0.6)
        self.assertIn('0.500 -> 0.600, +0.1000', self.compare())
        [row] = json.loads((self.root / 'kept' / 'summary.json').read_text())
        self.assertEqual((row['pairs'], row['way']), (2, 'after'))

    def test_what_was_played_is_not_played_again(self):
        """A comparison of an hour is cut off near its end and begun anew."""
        self.way('before', 0.5)
        self.way('after', -1)
        self.assertIn('left out', self.compare())
        self.way('after', 0.6)
        self.compare()
        self.assertEqual((self.plays('before'), self.plays('after')), (2, 4))


if __name__ == '__main__':
    unittest.main()
