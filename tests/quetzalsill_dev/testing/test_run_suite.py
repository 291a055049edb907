"""Tests of the suite runner with small generated suites."""

from __future__ import annotations

import contextlib
import io
import pathlib
import tempfile
import textwrap
import unittest
from unittest import mock

from quetzalsill_dev.testing import evidence, run_suite

GOOD = """
    import unittest
    class TestGood(unittest.TestCase):
        def test_one(self): pass
        def test_two(self): pass
        @unittest.skip('shown')
        def test_three(self): pass
"""
BAD = """
    import unittest
    class TestBad(unittest.TestCase):
        def test_fails(self): self.assertEqual(1, 2)
        def test_subtests(self):
            for i in range(3):
                with self.subTest(i=i): self.fail()
        def test_good(self): pass
"""
NO_SET_UP = """
    import unittest
    class TestNoSetUp(unittest.TestCase):
        @classmethod
        def setUpClass(cls): raise ValueError
        def test_never_runs(self): pass
"""


class RunSuiteTest(unittest.TestCase):
    """Counts, exit status and output of a run."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        (self.root / 'tests').mkdir()
        self.write('__init__', '')

    def write(self, name, text):
        path = self.root / 'tests' / f'{name}.py'
        path.write_text(textwrap.dedent(text))

    def run_all(self):
        """Returns the exit status and output lines of a run."""
        printed = io.StringIO()
        # The runner of this test has set the variable to its own folder.
        environment = {evidence.ENVIRONMENT: str(self.root / 'test-evidence')}
        with (
            contextlib.redirect_stdout(printed),
            mock.patch.dict('os.environ', environment),
        ):
            status = run_suite.main(['--root', str(self.root)])
        return status, printed.getvalue().splitlines()

    def test_good_suite_passes_and_shows_skipped(self):
        self.write('test_good', GOOD)
        status, lines = self.run_all()
        self.assertEqual(status, 0)
        self.assertEqual(lines[-2:], ['1 skipped', '2 passed, 0 failed'])

    def test_failures_are_counted_by_test_and_printed_in_full(self):
        self.write('test_good', GOOD)
        self.write('test_bad', BAD)
        status, lines = self.run_all()
        self.assertEqual(status, 1)
        self.assertEqual(lines[-1], '3 passed, 2 failed')
        self.assertIn('failed: tests.test_bad.TestBad.test_fails', lines)
        self.assertIn('AssertionError: 1 != 2', lines)

    def test_broken_fixture_import_and_crash_each_fail(self):
        self.write('test_good', GOOD)
        self.write('test_no_set_up', NO_SET_UP)
        self.write('test_no_import', 'import missing_module')
        self.write('test_crash', 'import os; os._exit(0)')
        status, lines = self.run_all()
        self.assertEqual(status, 1)
        self.assertEqual(lines[-1], '2 passed, 3 failed')

    def test_module_that_times_out_has_failed(self):
        self.write('test_hangs', 'import time; time.sleep(600)')
        outcome = run_suite.run_module(self.root, 'tests.test_hangs', 0.5)
        self.assertEqual(outcome.failed, ['tests.test_hangs'])
        self.assertEqual(outcome.passed, 0)

    def test_only_listed_failures_do_not_fail_the_run(self):
        self.write('test_bad', BAD)
        listed = self.root / 'KNOWN-RED.txt'
        first = 'tests.test_bad.TestBad.test_fails, cause, issue 9'
        second = 'tests.test_bad.TestBad.test_subtests, cause, issue 9'
        stale = 'tests.test_bad.TestBad.test_good, mended, issue 9'
        listed.write_text(f'{first}\n')
        self.assertEqual(self.run_all()[0], 1)
        listed.write_text(f'{first}\n{second}\n{stale}\n')
        status, lines = self.run_all()
        self.assertEqual(status, 0)
        self.assertIn(f'known red: {first}', lines)
        self.assertIn(f'listed, did not fail: {stale}', lines)
        self.assertEqual(lines[-1], '1 passed, 2 failed')

    def test_reports_of_failed_modules_are_kept(self):
        """A failure that can't be reproduced is analyzed from its report."""
        self.write('test_good', GOOD)
        self.write('test_bad', BAD)
        lines = self.run_all()[1]
        (report,) = (self.root / 'test-evidence').rglob('report.txt')
        self.assertIn('AssertionError: 1 != 2', report.read_text())
        self.assertIn(f'evidence: {report}', lines)

    def test_every_known_failure_may_be_listed(self):
        """The number of entries is not limited."""
        self.write('test_bad', BAD)
        names = ['fails', 'subtests', *(f'gone_{n}' for n in range(4))]
        lines = (f'tests.test_bad.TestBad.test_{name}, cause' for name in names)
        (self.root / 'KNOWN-RED.txt').write_text('\n'.join(lines))
        self.assertEqual(self.run_all()[0], 0)

    def test_run_without_tests_fails(self):
        self.assertEqual(self.run_all()[0], 1)


if __name__ == '__main__':
    unittest.main()
