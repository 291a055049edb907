"""What one test module's run told: counts and the names that failed.

`python -m unittest` reports on standard error; the parts read here are the
header of each failure (after a line of seventy `=`), the count of tests and
the closing line.
"""

from __future__ import annotations

import dataclasses
import re

__all__ = ['Outcome', 'read']

_HEADER = re.compile(
    r'^={70}\n(?:FAIL|ERROR|UNEXPECTED SUCCESS): (\S+)(?: \(([^)\s]+)\))?',
    re.MULTILINE,
)
_UNEXPECTED = re.compile(r'^UNEXPECTED SUCCESS: \S+ \(([^)\s]+)\)', re.M)
_RAN = re.compile(r'^Ran (\d+) tests? in ', re.MULTILINE)
_CLOSING = re.compile(r'^(?:OK|FAILED)(?: \((.*)\))?$', re.MULTILINE)
_FIXTURES = frozenset(
    ('setUpClass', 'tearDownClass', 'setUpModule', 'tearDownModule')
)


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of one module.

    Attributes:
      module: Dotted name of the module.
      ran: Tests that were run.
      skipped: Tests that were skipped.
      failed: Dotted names of failed tests, fixtures, or the module itself
        if it crashed, in order and each once.
      seconds: Time that the run took.
      report: Everything that the run printed.
    """

    module: str
    ran: int = 0
    skipped: int = 0
    failed: list[str] = dataclasses.field(default_factory=list)
    seconds: float = 0.0
    report: str = ''

    @property
    def passed(self) -> int:
        """Tests that ran to a good end."""
        failed_tests = sum(not _is_fixture(name) for name in self.failed)
        return max(self.ran - self.skipped - failed_tests, 0)


def read(module: str, exit_status: int, report: str, seconds: float) -> Outcome:
    """Reads a run's report; a run without an end counts as one failure."""
    outcome = Outcome(module, seconds=seconds, report=report)
    ran = _RAN.findall(report)
    if ran:
        outcome.ran = int(ran[-1])
        outcome.skipped = _closing_count(report, 'skipped')
    outcome.failed = list(dict.fromkeys(_failed_names(report)))
    crashed = exit_status != 0 and not outcome.failed
    if crashed or not ran:
        outcome.failed.append(module)
        outcome.ran += 1
    return outcome


def _failed_names(report: str) -> list[str]:
    names = [_dotted(*found.groups()) for found in _HEADER.finditer(report)]
    return names + _UNEXPECTED.findall(report)


def _dotted(method: str, place: str | None) -> str:
    if place is None or place.startswith('unittest.loader.'):
        return method
    if method in _FIXTURES:
        return f'{place}.{method}'
    return place


def _is_fixture(name: str) -> bool:
    return name.rpartition('.')[2] in _FIXTURES


def _closing_count(report: str, word: str) -> int:
    closings = _CLOSING.findall(report)
    found = re.search(rf'\b{word}=(\d+)', closings[-1]) if closings else None
    return int(found[1]) if found else 0
