"""Prints results as JSON or as tables."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any

import click

__all__ = ['cell', 'key_values', 'print_json', 'table']

_COLUMN_GAP = '  '


def cell(value: Any) -> str:
    """Formats a value for a table cell."""
    if value is None or value == '' or value == []:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list):
        return ','.join(cell(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value, sort_keys=True)
    text = str(value)
    # Text by other operators, such as a note, may contain terminal control
    # sequences.
    return text if text.isprintable() else ascii(text)


def print_json(value: Any) -> None:
    """Prints indented JSON."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Prints a table with columns as wide as their widest cell."""
    lines = [list(headers), *([cell(value) for value in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        padded = (
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        )
        click.echo(_COLUMN_GAP.join(padded).rstrip())


def key_values(values: dict[str, Any]) -> None:
    """Prints an object as a table with a row for each key."""
    table(('KEY', 'VALUE'), values.items())
