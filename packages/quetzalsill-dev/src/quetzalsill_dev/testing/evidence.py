"""Saves logs and reports of failed tests for later analysis."""

from __future__ import annotations

import itertools
import os
import pathlib
import shutil

__all__ = ['ENVIRONMENT', 'folder', 'keep', 'write']

ENVIRONMENT = 'QUETZALSILL_EVIDENCE'
DEFAULT = 'test-evidence'


def folder(root: pathlib.Path) -> pathlib.Path:
    """Returns the folder for evidence.

    It is `$QUETZALSILL_EVIDENCE`, or `test-evidence` in `root` if unset.
    """
    return pathlib.Path(os.environ.get(ENVIRONMENT, root / DEFAULT))


def keep(within: pathlib.Path, test: str, source: pathlib.Path) -> pathlib.Path:
    """Copies the files of a failed test; returns the target folder."""
    target = _unused(within, test)
    shutil.copytree(source, target)
    return target


def write(
    within: pathlib.Path, test: str, name: str, text: str
) -> pathlib.Path:
    """Writes a file about a failed test; returns its path."""
    target = _unused(within, test)
    target.mkdir(parents=True)
    path = target / name
    path.write_text(text)
    return path


def _unused(within: pathlib.Path, test: str) -> pathlib.Path:
    """Returns an unused folder for a failure of a test."""
    names = (within / f'{test}.{number}' for number in itertools.count())
    return next(path for path in names if not path.exists())
