"""Variants of a site file of the users' benchmark.

Usage: `python -m quetzalsill_dev.variants SITE.toml FOLDER`.

Copies the folder of the site file and adds one file per variant, with other
engine parameters or other notice times. Comparing two revisions of the code on
all variants shows whether a policy is overfitted to the figures of one site: no
variant may do worse, and none may break a rule.
"""

from __future__ import annotations

import pathlib
import re
import shutil
import sys
from collections.abc import Callable

__all__ = ['VARIANTS', 'make_variant']

Change = Callable[[str], str]
NUMBER_PATTERN = r'([0-9.]+)'


def _scale_field(
    field: str, factor: float, *, as_integer: bool = False
) -> Change:
    """Returns a change that multiplies every value of a field."""

    def change(text: str) -> str:
        def scale(match: re.Match[str]) -> str:
            value = float(match.group(1)) * factor
            scaled = max(1, round(value)) if as_integer else round(value, 4)
            return f'{field} = {scaled}'

        return re.sub(rf'\b{field} = {NUMBER_PATTERN}', scale, text)

    return change


def _engines_only(change: Change) -> Change:
    """Restricts a change to the settings of model engines."""

    def change_matches(text: str) -> str:
        return re.sub(r'llm = \{.*?\}', lambda m: change(m.group(0)), text)

    return change_matches


def _scale_notices(factor: float) -> Change:
    """Returns a change that multiplies the notice times of spot reclaims."""

    def change_matches(text: str) -> str:
        return re.sub(
            r'\{[^{}]*how = "spot"[^{}]*\}',
            lambda m: _scale_field('x', factor)(m.group(0)),
            text,
        )

    return change_matches


VARIANTS: dict[str, Change] = {
    'token-bytes-quarter': _engines_only(_scale_field('kv_bytes', 0.25)),
    'token-bytes-double': _engines_only(_scale_field('kv_bytes', 2.0)),
    'links-half': _engines_only(_scale_field('link_mbps', 0.5)),
    'memory-three-quarters': _engines_only(
        _scale_field('kv_tokens', 0.75, as_integer=True)
    ),
    'batch-half': _engines_only(_scale_field('batch', 0.5, as_integer=True)),
    'steps-slower': _engines_only(_scale_field('step_ms', 1.4)),
    'notices-longer': _scale_notices(1.5),
    'notices-shorter': _scale_notices(0.8),
}


def make_variant(text: str, name: str) -> str:
    """Applies a variant to the text of a site file.

    Raises:
      ValueError: The variant does not change the file.
    """
    changed = VARIANTS[name](text)
    if changed == text:
        raise ValueError(f'variant {name!r} does not change the site file')
    name_line = re.compile(r'^name = "([^"]+)"', re.MULTILINE)
    return name_line.sub(rf'name = "\1-{name}"', changed, count=1)


def main(args: list[str]) -> int:
    """Writes all variants of a site file to a new folder."""
    if len(args) != 2:
        print(__doc__.splitlines()[2], file=sys.stderr)
        return 2
    site, folder = map(pathlib.Path, args)
    if not site.is_file() or folder.exists():
        print('SITE.toml must exist and FOLDER must not exist', file=sys.stderr)
        return 2
    shutil.copytree(site.parent, folder)
    for name in VARIANTS:
        text = site.read_text(encoding='utf-8')
        path = folder / f'{site.stem}-{name}.toml'
        path.write_text(make_variant(text, name), encoding='utf-8')
        print(path)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
