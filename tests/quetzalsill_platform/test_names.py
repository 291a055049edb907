"""The platform's names are used in the adapter only."""

from __future__ import annotations

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[2]
FOLDER = ROOT / 'platform'
MAX_LINES = 1500
# Names of calls, headers, tables and fields that are specific to the platform.
NAMES = re.compile(
    r'x-quetzalsill|kv-(from|move|fetch|handle|backup)|rows-(get|feed|tx)'
    r'|server-stamp|not-executed|expect-instance|attempt-id|length-hint'
    r'|expectedRevision|routeType|streamResume|maxAttempts|kvCapacity'
    r'|leaves_ms|draining|store-era|\beras?\b',
    re.IGNORECASE,
)


class NamesTest(unittest.TestCase):
    """A platform name in the gateway would tie it to one deployment."""

    def test_the_gateway_knows_none(self):
        package = ROOT / 'packages' / 'quetzalsill-gateway' / 'src'
        for path in sorted(package.rglob('*.py')):
            found = NAMES.findall(path.read_text())
            with self.subTest(path.name):
                self.assertEqual(found, [])

    def test_the_folder_is_no_package_and_small(self):
        self.assertFalse((FOLDER / '__init__.py').exists())
        lines = sum(
            len(path.read_text().splitlines()) for path in FOLDER.rglob('*.py')
        )
        self.assertLess(lines, MAX_LINES)


if __name__ == '__main__':
    unittest.main()
