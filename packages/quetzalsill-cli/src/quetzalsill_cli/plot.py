"""Plots late and lost requests of a ledger over time, by cause."""

from __future__ import annotations

import collections

from quetzalsill_cli import failure, ledger

__all__ = ['draw']

HISTOGRAM_BINS = 60
FIGURE_SIZE_INCHES = (10, 5)


def draw(result: ledger.Ledger, path: str) -> None:
    """Writes the plot to a file; the file suffix selects the format.

    Raises:
      failure.BadArgumentError: Matplotlib is not installed, or the file cannot
        be written.
    """
    try:
        from matplotlib import figure as figure_lib
    except ImportError as exc:
        raise failure.BadArgumentError(
            '--plot needs matplotlib, which is not installed',
            'Install it by `pip install matplotlib`, or leave out --plot.',
        ) from exc
    times_by_cause: dict[str, list[float]] = collections.defaultdict(list)
    first = min(entry.at for entry in result.entries)
    for entry in result.entries:
        if entry.cause and entry.verdict is not ledger.Verdict.NOT_OWED:
            name = f'{entry.verdict.value}, {entry.cause}'
            times_by_cause[name].append((entry.at - first).total_seconds())
    figure = figure_lib.Figure(figsize=FIGURE_SIZE_INCHES, layout='constrained')
    axes = figure.subplots()
    if times_by_cause:
        causes = sorted(
            times_by_cause, key=lambda name: -len(times_by_cause[name])
        )
        axes.hist(
            [times_by_cause[name] for name in causes],
            bins=HISTOGRAM_BINS,
            stacked=True,
            label=causes,
        )
        axes.legend(fontsize='small')
    axes.set_xlabel('seconds since the first request')
    axes.set_ylabel('requests')
    try:
        figure.savefig(path)
    except (OSError, ValueError) as exc:
        raise failure.BadArgumentError(
            f'--plot {path}: {exc}',
            'Name a file that can be written, such as ledger.png.',
        ) from exc
