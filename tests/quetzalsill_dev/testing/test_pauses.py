"""Tests of seeded pauses of processes that a test starts."""

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
# The child stops itself; it exits if it gets a SIGCONT.
STOPPED = """
    import os, signal, subprocess, sys, time, unittest
    class TestChild(unittest.TestCase):
        def test_child(self):
            code = 'import os, signal, time; time.sleep(0.1); '
            code += 'os.kill(os.getpid(), signal.SIGSTOP)'
            child = subprocess.Popen([sys.executable, '-c', code, 'paused'])
            time.sleep(1)
            stopped = child.poll() is None
            child.kill()
            child.wait()
            self.assertTrue(stopped)
"""
OFTEN = pauses.Limits(shortest_s=0.01, longest_s=0.02, gap_s=0.02)


class PausesTest(unittest.TestCase):
    """Selection and times of pauses."""

    def test_the_same_seed_gives_the_same_pauses(self):
        def generate(seed):
            return [*itertools.islice(pauses.generate(seed, OFTEN), 20)]

        self.assertEqual(generate(7), generate(7))
        self.assertNotEqual(generate(7), generate(8))

    def run_test(self, test):
        """Returns the result of a test whose child is paused."""
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / 'child_test.py').write_text(textwrap.dedent(test))
            with mock.patch.dict('os.environ', PYTHONPATH=name):
                return pauses.run('child_test', 3, OFTEN, 'paused$', folder)

    def test_a_process_that_the_test_has_stopped_stays_so(self):
        """The end of an injected pause must not resume such a process."""
        result = self.run_test(STOPPED)
        self.assertEqual(result.status, 0, result.report)

    def test_only_matching_processes_are_paused_and_all_resume(self):
        result = self.run_test(PARENT)
        self.assertEqual(result.status, 0, result.report)
        self.assertTrue(result.pauses)
        for line in result.pauses:
            self.assertTrue(line.endswith('paused'), line)


if __name__ == '__main__':
    unittest.main()
