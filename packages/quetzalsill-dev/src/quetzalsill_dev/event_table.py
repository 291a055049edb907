"""Prints the table of a gateway's events, for docs/OPERATIONS.md.

Usage: `python -m quetzalsill_dev.event_table`.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from quetzalsill_gateway import event

__all__ = ['rows']


def rows() -> Iterator[str]:
    """Yields one row of the table for each event."""
    for name, cls in sorted(event.EVENTS.items()):
        fields = ', '.join(field.name for field in dataclasses.fields(cls))
        says = cls.__doc__.partition('\n')[0]
        yield f'| `{name}` | {says} | {fields} |'


if __name__ == '__main__':
    for row in rows():
        print(row)
