"""Parses KEY=VALUE assignments of the command line."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import click

__all__ = ['apply']


def _parse_value(text: str) -> Any:
    """Parses a JSON value; other text is taken as a string."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def apply(values: dict[str, Any], assignments: Iterable[str]) -> dict[str, Any]:
    """Returns a copy of the values with each `KEY=VALUE` applied.

    The router checks whether the key exists and the value is allowed.

    Raises:
      click.UsageError: An assignment has no `=`.
    """
    changed = dict(values)
    for text in assignments:
        name, separator, value = text.partition('=')
        if not separator or not name:
            raise click.UsageError(f'{text!r} is not KEY=VALUE')
        changed[name] = _parse_value(value)
    return changed
