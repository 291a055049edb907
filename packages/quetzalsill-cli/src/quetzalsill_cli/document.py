"""Reads and checks local configuration files."""

from __future__ import annotations

import pathlib
from typing import Any

from quetzalsill.config import model, reference
from quetzalsill.schema import check as schema_check
from quetzalsill.schema import error as schema_error
from quetzalsill.schema import load as schema_load
from quetzalsill_cli import failure

__all__ = ['load', 'read']


def _command_error(
    exc: schema_error.InvalidDocumentError,
) -> failure.InvalidDocumentError:
    return failure.InvalidDocumentError('\n'.join(exc.lines()))


def read(path: str) -> dict[str, Any]:
    """Reads a JSON file with comments, without checking its keys.

    Raises:
      InvalidDocumentError: The file cannot be read or is not a JSON object.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        data = schema_load.parse_text(text, path)
    except schema_error.InvalidDocumentError as exc:
        raise _command_error(exc) from exc
    except (OSError, UnicodeDecodeError) as exc:
        raise failure.InvalidDocumentError(f'{path}: {exc}') from exc
    if not isinstance(data, dict):
        raise failure.InvalidDocumentError(f'{path}: not a JSON object')
    return data


def load(path: str) -> model.Configuration:
    """Reads a configuration file and checks keys, values and references.

    Raises:
      InvalidDocumentError: The file is invalid; lists every fault.
    """
    try:
        cfg = schema_check.check(model.Configuration, read(path), path)
        reference.check_references(cfg)
    except schema_error.InvalidDocumentError as exc:
        raise _command_error(exc) from exc
    return cfg
