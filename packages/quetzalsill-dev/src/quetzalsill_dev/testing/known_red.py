"""The list of tests known to fail, KNOWN-RED.txt at the root."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib

__all__ = ['FILE', 'KnownRed', 'load']

FILE = 'KNOWN-RED.txt'


@dataclasses.dataclass(slots=True)
class KnownRed:
    """A test that fails for a fault that is not fixed yet.

    Attributes:
      test: Dotted name of the test.
      line: The whole line: test, cause, issue.
    """

    test: str
    line: str


def load(root: pathlib.Path) -> list[KnownRed]:
    """Reads the list; a missing file is an empty list."""
    path = root / FILE
    if not path.exists():
        return []
    lines = (line.strip() for line in path.read_text().splitlines())
    return [
        KnownRed(line.replace(',', ' ').split()[0], line)
        for line in lines
        if line and not line.startswith('#')
    ]
