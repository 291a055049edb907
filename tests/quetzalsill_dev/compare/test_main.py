"""Tests of the compare command with a stand-in for the benchmark."""

from __future__ import annotations

import json
import pathlib
import sys
import tempfile
import unittest

from click import testing

from quetzalsill_dev.compare import __main__ as command

# Writes a report with the score in the checkout's file, and counts the runs.
BENCH = """#!{python}
import json, pathlib, sys
words = sys.argv
report = pathlib.Path(words[words.index('--report') + 1])
score = float(pathlib.Path('score').read_text())
with open('runs', 'a') as runs:
    runs.write('x')
if score < 0:
    sys.exit('it crashed')
report.write_text(json.dumps({{
    'G': score, 'served': 0.9, 'classes': [], 'prices': [], 'breaks': {{}},
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

    def add_checkout(self, name, score):
        folder = self.root / name
        folder.mkdir(exist_ok=True)
        (folder / 'score').write_text(str(score))
        return folder

    def run_count(self, name):
        return len((self.root / name / 'runs').read_text())

    def compare(self):
        words = ['--bench', str(self.root / 'bench'), '--day', 'quiet-1']
        for name in ('before', 'after'):
            words += ['--way', str(self.root / name)]
        words += ['--site', str(self.root / 'site.toml')]
        words += ['--seed', '1', '--seed', '2']
        words += ['--folder', str(self.root / 'kept')]
        result = testing.CliRunner().invoke(command.main, words)
        self.assertEqual(result.exit_code, 0, result.output)
        return result.output

    def test_difference_is_printed_and_stored(self):
        self.add_checkout('before', 0.5)
        self.add_checkout('after', 0.6)
        self.assertIn('0.500 -> 0.600, +0.1000', self.compare())
        [row] = json.loads((self.root / 'kept' / 'summary.json').read_text())
        self.assertEqual((row['pairs'], row['way']), (2, 'after'))

    def test_finished_runs_are_not_repeated(self):
        """Guards against repeating an interrupted comparison from the start."""
        self.add_checkout('before', 0.5)
        self.add_checkout('after', -1)
        self.assertIn('skipped', self.compare())
        self.add_checkout('after', 0.6)
        self.compare()
        self.assertEqual(
            (self.run_count('before'), self.run_count('after')), (2, 4)
        )


if __name__ == '__main__':
    unittest.main()
