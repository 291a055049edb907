"""Prints the tables of all log events for docs/OPERATIONS.md.

Usage: `python -m quetzalsill_dev.event_table`.
"""

from __future__ import annotations

import dataclasses
import importlib
from collections.abc import Iterator

from quetzalsill.telemetry import event

__all__ = ['PACKAGES', 'rows']

# Packages that log events, with the name of their process on the page.
PACKAGES = {
    'quetzalsill_gateway': 'gateway',
    'quetzalsill_router': 'router',
    'quetzalsill_sidecar': 'sidecar',
    'quetzalsill': 'every process',
}


def rows(package: str) -> Iterator[str]:
    """Yields a Markdown table row for each event of a package."""
    importlib.import_module(f'{package}.event')
    for name, cls in sorted(event.EVENTS[package].items()):
        fields = ', '.join(field.name for field in dataclasses.fields(cls))
        summary = cls.__doc__.partition('\n')[0]
        yield f'| `{name}` | {summary} | {fields} |'


if __name__ == '__main__':
    for package, writer in PACKAGES.items():
        print(f'\n### Of {"a " if writer != "every process" else ""}{writer}\n')
        print('| event | what happened | fields |')
        print('|---|---|---|')
        for row in rows(package):
            print(row)
