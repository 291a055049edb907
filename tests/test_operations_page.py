"""docs/OPERATIONS.md tells the events and metrics that there are."""

from __future__ import annotations

import dataclasses
import pathlib
import re
import unittest

from quetzalsill.telemetry import metric
from quetzalsill_dev import event_table
from quetzalsill_gateway import event, meter

ROOT = pathlib.Path(__file__).parents[1]
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
GATEWAY = ROOT / 'packages' / 'quetzalsill-gateway' / 'src'
METRIC = re.compile(r'`(quetzalsill_\w+)')


class OperationsPageTest(unittest.TestCase):
    """An engineer on call searches for a line that was renamed."""

    def test_each_event_stands_on_the_page(self):
        self.assertGreater(len(event.EVENTS), 20)
        for row in event_table.rows():
            self.assertIn(row, PAGE)

    def test_no_other_event_stands_there(self):
        table = PAGE.partition('| event |')[2]
        named = set(re.findall(r'^\| `(\w+)`', table, re.MULTILINE))
        self.assertEqual(named, set(event.EVENTS))

    def test_each_metric_on_the_page_exists(self):
        self.assertTrue(meter.requests)
        known = metric.render().decode()
        names = METRIC.findall(PAGE)
        self.assertGreater(len(names), 5)
        for name in names:
            with self.subTest(name):
                self.assertIn(name, known)

    def test_each_event_is_written_and_tells_its_fields(self):
        code = '\n'.join(
            path.read_text()
            for folder in (GATEWAY, ROOT / 'platform')
            for path in folder.rglob('*.py')
            if path.parent.name != 'event'
        )
        for cls in event.EVENTS.values():
            with self.subTest(cls.__name__):
                self.assertRegex(code, rf'event\.{cls.__name__}\(')
                for field in dataclasses.fields(cls):
                    self.assertIn(f'      {field.name}: ', cls.__doc__)

    def test_lines_in_the_examples_are_of_known_events(self):
        for block in PAGE.split('```')[1::2]:
            for line in block.splitlines()[1:]:
                name = line.split(' ', 1)[0]
                if '=' in line and re.fullmatch(r'[a-z]+_[a-z_]+', name):
                    self.assertIn(name, event.EVENTS)


if __name__ == '__main__':
    unittest.main()
