"""docs/FAILURES.md names log events, metrics and settings that exist."""

from __future__ import annotations

import pathlib
import re
import unittest

from quetzalsill.telemetry import event
from quetzalsill_dev import event_table

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / 'docs' / 'FAILURES.md'
NAME = re.compile(r'`([a-z]+(?:_[a-z]+)+)\b')
SETTING = re.compile(r'\(`[a-z]+\.([a-z_]+)`')
WORD = re.compile(r'\w+')


class FailuresPageTest(unittest.TestCase):
    """The page names a log event, metric or setting that was renamed."""

    def test_each_name_stands_in_the_code(self):
        files = (ROOT / 'packages').glob('*/src/**/*.py')
        words = {
            word for path in files for word in WORD.findall(path.read_text())
        }
        for package in event_table.PACKAGES:
            list(event_table.rows(package))
            words.update(event.EVENTS[package])
        page = PAGE.read_text()
        names = {*NAME.findall(page), *SETTING.findall(page)}
        self.assertGreater(len(names), 50)
        for name in sorted(names):
            with self.subTest(name):
                self.assertTrue(name in words, 'not in the code')


if __name__ == '__main__':
    unittest.main()
