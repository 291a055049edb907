"""The modules of the packages have no import cycles."""

from __future__ import annotations

import ast
import graphlib
import pathlib
import unittest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parent.parent
SOURCES = (*sorted((ROOT / 'packages').glob('*/src')), ROOT / 'platform')


def modules() -> dict[str, pathlib.Path]:
    """Returns the files of all modules and packages by dotted name."""
    found = {}
    for source in SOURCES:
        for file in source.rglob('*.py'):
            parts = file.relative_to(source).with_suffix('').parts
            name = '.'.join(p for p in parts if p != '__init__')
            if name:
                found[name] = file
    return found


def imported(tree: ast.Module) -> Iterator[str]:
    """Yields every dotted name that the imports of a module may refer to.

    Imports under TYPE_CHECKING count: a reader has to follow them too.
    """
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                yield f'{node.module}.{alias.name}'
            yield node.module


def graph(files: dict[str, pathlib.Path]) -> dict[str, set[str]]:
    """Returns the modules that each module imports, without packages."""
    leaves = {n for n, f in files.items() if f.name != '__init__.py'}
    return {
        name: leaves.intersection(imported(ast.parse(files[name].read_text())))
        for name in leaves
    }


class ImportCyclesTest(unittest.TestCase):
    """Modules can be read in the order of their imports."""

    def test_modules_do_not_import_each_other_in_a_cycle(self):
        sorter = graphlib.TopologicalSorter(graph(modules()))
        try:
            sorter.prepare()
        except graphlib.CycleError as exc:
            self.fail(' -> '.join(exc.args[1]))

    def test_imports_are_seen_at_all(self):
        found = graph(modules())
        self.assertIn(
            'quetzalsill_gateway.balance.admission',
            found['quetzalsill_gateway.core'],
        )


if __name__ == '__main__':
    unittest.main()
