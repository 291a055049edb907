"""Variants of a site file of the users' bench, with other engines and notices.

Usage: `python -m quetzalsill_dev.variants SITE.toml FOLDER`. Writes one file a
variant into a new folder, with what stands beside the site file. Played on the
code and on the code before it, they show whether a policy has been fitted to
the figures of one sheet: none may do worse, and none may break a rule.
"""

from __future__ import annotations

import pathlib
import re
import shutil
import sys
from collections.abc import Callable

__all__ = ['VARIANTS', 'vary']

Change = Callable[[str], str]
NUMBER = r'([0-9.]+)'


def _scaled(field: str, factor: float, *, whole: bool = False) -> Change:
    """Returns what multiplies every figure of a field."""

    def change(text: str) -> str:
        def scale(found: re.Match[str]) -> str:
            value = float(found.group(1)) * factor
            shown = max(1, round(value)) if whole else round(value, 4)
            return f'{field} = {shown}'

        return re.sub(rf'\b{field} = {NUMBER}', scale, text)

    return change


def _in_engines(change: Change) -> Change:
    """Returns a change that applies to what model engines have, only."""

    def inner(text: str) -> str:
        return re.sub(r'llm = \{.*?\}', lambda m: change(m.group(0)), text)

    return inner


def _notices(factor: float) -> Change:
    """Returns what multiplies the notices of engines that are taken away."""

    def inner(text: str) -> str:
        return re.sub(
            r'\{[^{}]*how = "spot"[^{}]*\}',
            lambda m: _scaled('x', factor)(m.group(0)),
            text,
        )

    return inner


VARIANTS: dict[str, Change] = {
    'token-bytes-quarter': _in_engines(_scaled('kv_bytes', 0.25)),
    'token-bytes-double': _in_engines(_scaled('kv_bytes', 2.0)),
    'links-half': _in_engines(_scaled('link_mbps', 0.5)),
    'memory-three-quarters': _in_engines(
        _scaled('kv_tokens', 0.75, whole=True)
    ),
    'batch-half': _in_engines(_scaled('batch', 0.5, whole=True)),
    'steps-slower': _in_engines(_scaled('step_ms', 1.4)),
    'notices-longer': _notices(1.5),
    'notices-shorter': _notices(0.8),
}


def vary(text: str, name: str) -> str:
    """Returns the text of a site file in a variant.

    Raises:
      ValueError: The file has nothing that the variant changes.
    """
    changed = VARIANTS[name](text)
    if changed == text:
        raise ValueError(f'the site file has nothing that {name!r} changes')
    named = re.compile(r'^name = "([^"]+)"', re.MULTILINE)
    return named.sub(rf'name = "\1-{name}"', changed, count=1)


def main(args: list[str]) -> int:
    """Writes every variant of a site file."""
    if len(args) != 2:
        print(__doc__.splitlines()[2], file=sys.stderr)
        return 2
    site, folder = map(pathlib.Path, args)
    if not site.is_file() or folder.exists():
        print('SITE.toml must exist, and FOLDER must not', file=sys.stderr)
        return 2
    shutil.copytree(site.parent, folder)
    for name in VARIANTS:
        text = site.read_text(encoding='utf-8')
        path = folder / f'{site.stem}-{name}.toml'
        path.write_text(vary(text, name), encoding='utf-8')
        print(path)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
