"""Prints what a command found: JSON, or aligned columns."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any

import click

__all__ = ['cell', 'key_values', 'print_json', 'table']

_COLUMN_GAP = '  '


def cell(value: Any) -> str:
    """Renders a value for one cell of a table."""
    if value is None or value == '' or value == []:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list):
        return ','.join(cell(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value, sort_keys=True)
    text = str(value)
    # Text of other operators, such as a note, may hold terminal controls.
    return text if text.isprintable() else ascii(text)


def print_json(value: Any) -> None:
    """Prints indented JSON."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Prints rows below their heads in columns as wide as needed."""
    lines = [list(headers), *([cell(value) for value in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        padded = (
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        )
        click.echo(_COLUMN_GAP.join(padded).rstrip())


def key_values(values: dict[str, Any]) -> None:
    """Prints the keys and values of one object, a line each."""
    table(('KEY', 'VALUE'), values.items())
