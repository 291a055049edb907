"""Parses the report of a test module's run: counts and failed tests.

The parsed parts of the report of `python -m unittest` are the header of each
failure (after a line of seventy `=`), the number of tests and the last line.
"""

from __future__ import annotations

import dataclasses
import re

__all__ = ['Outcome', 'parse']

_HEADER = re.compile(
    r'^={70}\n(?:FAIL|ERROR|UNEXPECTED SUCCESS): (\S+)(?: \(([^)\s]+)\))?',
    re.MULTILINE,
)
_UNEXPECTED = re.compile(r'^UNEXPECTED SUCCESS: \S+ \(([^)\s]+)\)', re.M)
_RAN = re.compile(r'^Ran (\d+) tests? in ', re.MULTILINE)
_SUMMARY = re.compile(r'^(?:OK|FAILED)(?: \((.*)\))?$', re.MULTILINE)
_FIXTURES = frozenset(
    ('setUpClass', 'tearDownClass', 'setUpModule', 'tearDownModule')
)


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of a test module.

    Attributes:
      module: Dotted name of the module.
      ran: Number of tests that were run.
      skipped: Number of tests that were skipped.
      failed: Dotted names of failed tests and fixtures, or of the module itself
        if it crashed, in order and without duplicates.
      seconds: Duration of the run.
      report: Complete output of the run.
    """

    module: str
    ran: int = 0
    skipped: int = 0
    failed: list[str] = dataclasses.field(default_factory=list)
    seconds: float = 0.0
    report: str = ''

    @property
    def passed(self) -> int:
        """Number of tests that passed."""
        failed_tests = sum(not _is_fixture(name) for name in self.failed)
        return max(self.ran - self.skipped - failed_tests, 0)


def parse(
    module: str, exit_status: int, report: str, seconds: float
) -> Outcome:
    """Parses a report; a run without a summary counts as one failure."""
    outcome = Outcome(module, seconds=seconds, report=report)
    ran = _RAN.findall(report)
    if ran:
        outcome.ran = int(ran[-1])
        outcome.skipped = _summary_count(report, 'skipped')
    outcome.failed = list(dict.fromkeys(_failed_names(report)))
    crashed = exit_status != 0 and not outcome.failed
    if crashed or not ran:
        outcome.failed.append(module)
        outcome.ran += 1
    return outcome


def _failed_names(report: str) -> list[str]:
    names = [_dotted(*match.groups()) for match in _HEADER.finditer(report)]
    return names + _UNEXPECTED.findall(report)


def _dotted(method: str, place: str | None) -> str:
    if place is None or place.startswith('unittest.loader.'):
        return method
    if method in _FIXTURES:
        return f'{place}.{method}'
    return place


def _is_fixture(name: str) -> bool:
    return name.rpartition('.')[2] in _FIXTURES


def _summary_count(report: str, word: str) -> int:
    summaries = _SUMMARY.findall(report)
    match = re.search(rf'\b{word}=(\d+)', summaries[-1]) if summaries else None
    return int(match[1]) if match else 0
