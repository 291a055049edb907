"""Reads KNOWN-RED.txt, the list of tests that are known to fail."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib

__all__ = ['FILE_NAME', 'KnownRed', 'load']

FILE_NAME = 'KNOWN-RED.txt'


@dataclasses.dataclass(slots=True)
class KnownRed:
    """A test that fails because of a fault that is not fixed yet.

    Attributes:
      test: Dotted name of the test.
      line: Complete line of the entry: test, cause, issue.
    """

    test: str
    line: str


def load(root: pathlib.Path) -> list[KnownRed]:
    """Reads the list; it is empty if the file is missing."""
    path = root / FILE_NAME
    if not path.exists():
        return []
    lines = (line.strip() for line in path.read_text().splitlines())
    return [
        KnownRed(line.replace(',', ' ').split()[0], line)
        for line in lines
        if line and not line.startswith('#')
    ]
