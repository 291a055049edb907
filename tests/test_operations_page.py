"""docs/OPERATIONS.md lists exactly the existing events and metrics."""

from __future__ import annotations

import dataclasses
import pathlib
import re
import unittest

from quetzalsill.net import client_memory
from quetzalsill.telemetry import event, metric
from quetzalsill_dev import event_table
from quetzalsill_gateway import meter

ROOT = pathlib.Path(__file__).parents[1]
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
SOURCES = (ROOT / 'packages', ROOT / 'platform')
GATEWAY = 'quetzalsill_gateway'
METRIC = re.compile(r'`(quetzalsill_\w+)')


def event_names():
    """Returns the names of all events."""
    return {name for found in event.EVENTS.values() for name in found}


def source_text(package):
    """Returns the source code that may log the events of a package."""
    folder = package.replace('_', '-')
    folders = [ROOT / 'packages' / folder]
    if package == GATEWAY:
        folders.append(ROOT / 'platform')
    return '\n'.join(
        path.read_text()
        for folder in folders
        for path in folder.rglob('*.py')
        if 'event' not in (path.stem, path.parent.name)
    )


class OperationsPageTest(unittest.TestCase):
    """The page lists an event or metric that was renamed."""

    def test_each_event_stands_on_the_page(self):
        for package in event_table.PACKAGES:
            found = list(event_table.rows(package))
            minimum = 20 if package == GATEWAY else 10
            self.assertGreater(len(found), minimum)
            for row in found:
                self.assertIn(row, PAGE)

    def test_every_package_with_events_is_on_the_page(self):
        self.assertEqual(set(event.EVENTS), set(event_table.PACKAGES))

    def test_no_other_event_stands_there(self):
        table = PAGE.partition('## Events')[2]
        named = set(re.findall(r'^\| `(\w+)`', table, re.MULTILINE))
        self.assertEqual(named, event_names())

    def test_each_metric_on_the_page_exists(self):
        self.assertTrue(meter.requests and client_memory.evicted)
        known = metric.render().decode()
        names = METRIC.findall(PAGE)
        self.assertGreater(len(names), 5)
        for name in names:
            with self.subTest(name):
                self.assertIn(name, known)

    def test_each_event_is_written_and_tells_its_fields(self):
        for package, found in event.EVENTS.items():
            code = source_text(package)
            for cls in found.values():
                with self.subTest(f'{package}.{cls.__name__}'):
                    # Called directly, or listed in a table of events.
                    self.assertRegex(code, rf'event\.{cls.__name__}[(,]')
                    for field in dataclasses.fields(cls):
                        self.assertIn(f'      {field.name}: ', cls.__doc__)

    def test_no_log_line_bypasses_the_events(self):
        """A log line without an event class is missing from the page."""
        for folder in SOURCES:
            for path in folder.rglob('*.py'):
                is_product = 'quetzalsill-dev' not in path.parts
                if is_product:
                    found = re.findall(
                        r'\blogger\.(?:debug|info|warning|error|exception)\(',
                        path.read_text(),
                    )
                    self.assertEqual(found, [], path)

    def test_lines_in_the_examples_are_of_known_events(self):
        for block in PAGE.split('```')[1::2]:
            for line in block.splitlines()[1:]:
                name = line.split(' ', 1)[0]
                if '=' in line and re.fullmatch(r'[a-z]+_[a-z_]+', name):
                    self.assertIn(name, event.EVENTS[GATEWAY])


if __name__ == '__main__':
    unittest.main()
