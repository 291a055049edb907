"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import pathlib
import time

__all__ = ['Record']


class Record:
    """Writes lines with the seconds since the start of the case."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._started_s = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started_s

    def note(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()
