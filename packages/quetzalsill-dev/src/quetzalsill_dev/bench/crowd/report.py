"""Formats results as a table, as JSON and as plots."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from typing import TYPE_CHECKING

from quetzalsill_dev.bench.crowd import figures

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['FOLDER', 'Cell', 'lines', 'plot', 'write_json']

FOLDER = pathlib.Path('bench-results')
COLUMNS = (
    ('prompt_stall_p99_s', 'stall p99'),
    ('prompt_stall_max_s', 'stall max'),
    ('small_stall_p99_s', 'small p99'),
    ('first_p95_s', 'first p95'),
    ('gap_p99_s', 'gap p99'),
    ('gap_max_s', 'gap max'),
    ('preemptions_per_1000', 'preempt/1k'),
    ('goodput_tokens_s', 'goodput'),
    ('patient_p50_s', 'patient p50'),
    ('patient_p99_s', 'patient p99'),
    ('refused', 'refused'),
    ('broken', 'broken'),
    ('unfinished', 'unfinished'),
)


@dataclasses.dataclass(slots=True)
class Cell:
    """Results of all contenders for one mix, load and condition."""

    mix: str
    load: float
    condition: str
    seeds: int
    by_contender: dict[str, figures.Figures]


def lines(cell: Cell) -> Iterator[str]:
    """Yields the table of a cell, then the ratios to the better baseline."""
    yield (
        f'{cell.mix}, load {cell.load}, {cell.condition}, {cell.seeds} seed(s)'
    )
    yield f'{"":10}' + ''.join(f'{title:>12}' for _, title in COLUMNS)
    for name, row in cell.by_contender.items():
        values = (getattr(row, key) for key, _ in COLUMNS)
        yield f'{name:10}' + ''.join(f'{value:12.3f}' for value in values)
    if not any(name in cell.by_contender for name in figures.BASELINES):
        return
    for name in ('ours', 'bold', 'oracle'):
        if name in cell.by_contender:
            yield _ratio_line(cell, name)


def _ratio_line(cell: Cell, name: str) -> str:
    found = figures.ratios(cell.by_contender, name)
    parts = (
        f'{bar} {value:.2f} (bar {figures.TARGET_RATIOS[bar]})'
        for bar, value in found.items()
    )
    return f'{name} / better baseline: ' + ', '.join(parts)


def write_json(cells: list[Cell], name: str) -> pathlib.Path:
    """Writes all results as JSON; returns the path."""
    FOLDER.mkdir(exist_ok=True)
    path = FOLDER / f'{name}.json'
    rows = [dataclasses.asdict(cell) for cell in cells]
    path.write_text(json.dumps(rows, indent=2))
    return path


def plot(cells: list[Cell], name: str) -> pathlib.Path:
    """Plots each target figure by load and contender; returns the path."""
    import matplotlib as mpl

    mpl.use('Agg')
    from matplotlib import pyplot

    mixes = sorted({cell.mix for cell in cells})
    figure, axes = pyplot.subplots(
        len(mixes),
        len(figures.TARGET_RATIOS),
        figsize=(4 * len(figures.TARGET_RATIOS), 3 * len(mixes)),
        squeeze=False,
    )
    for row, mix_name in zip(axes, mixes, strict=True):
        shown = [cell for cell in cells if cell.mix == mix_name]
        for axis, bar in zip(row, figures.TARGET_RATIOS, strict=True):
            _draw(axis, shown, bar)
            axis.set_title(f'{mix_name}: {bar}', fontsize=8)
    axes[0][0].legend(fontsize=7)
    figure.tight_layout()
    path = FOLDER / f'{name}.png'
    figure.savefig(path)
    pyplot.close(figure)
    return path


def _draw(axis: object, cells: list[Cell], bar: str) -> None:
    calm = [cell for cell in cells if cell.condition == 'calm']
    calm.sort(key=lambda cell: cell.load)
    for contender in calm[0].by_contender if calm else ():
        loads = [cell.load for cell in calm]
        values = [getattr(c.by_contender[contender], bar) for c in calm]
        axis.plot(loads, values, marker='o', label=contender)
