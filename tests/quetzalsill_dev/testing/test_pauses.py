"""Tests of seeded pauses, on processes that the test starts."""

from __future__ import annotations

import itertools
import pathlib
import tempfile
import textwrap
import unittest
from unittest import mock

from quetzalsill_dev.testing import pauses

PARENT = """
    import subprocess, sys, unittest
    class TestChild(unittest.TestCase):
        def test_child(self):
            code = 'import time; time.sleep(1)'
            child = subprocess.Popen([sys.executable, '-c', code, 'paused'])
            self.assertEqual(child.wait(), 0)
"""
OFTEN = pauses.Bounds(shortest_s=0.01, longest_s=0.02, gap_s=0.02)


class PausesTest(unittest.TestCase):
    """Which processes are paused, and when."""

    def test_the_same_seed_gives_the_same_pauses(self):
        def of(seed):
            return [*itertools.islice(pauses.plan(seed, OFTEN), 20)]

        self.assertEqual(of(7), of(7))
        self.assertNotEqual(of(7), of(8))

    def test_only_the_named_processes_are_paused_and_all_go_on(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / 'child_test.py').write_text(textwrap.dedent(PARENT))
            with mock.patch.dict('os.environ', PYTHONPATH=name):
                result = pauses.play('child_test', 3, OFTEN, 'paused$', folder)
        self.assertEqual(result.status, 0, result.report)
        self.assertTrue(result.pauses)
        for line in result.pauses:
            self.assertTrue(line.endswith('paused'), line)


if __name__ == '__main__':
    unittest.main()
