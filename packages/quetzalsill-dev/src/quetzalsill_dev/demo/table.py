"""Lines and table that the demo prints."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill_dev.demo import ask

__all__ = ['HEADING', 'row', 'table']

COLUMNS = (
    ('request', 13),
    ('via', 21),
    ('tokens', 7),
    ('first s', 8),
    ('stall s', 8),
    ('gap s', 8),
    ('took s', 8),
    ('outcome', 0),
)


def _line(cells: Iterable[str]) -> str:
    pairs = zip(cells, COLUMNS, strict=True)
    return ' '.join(cell.ljust(width) for cell, (_, width) in pairs)


HEADING = _line(name for name, _ in COLUMNS)


def row(item: ask.Asked) -> str:
    """One answer with its stall time, worst token gap and outcome."""
    answer = item.answer
    generated = not item.ask.order
    return _line(
        (
            item.ask.kind,
            item.router,
            str(len(answer.texts)) if generated else '-',
            f'{answer.first_token_s:.3f}',
            f'{answer.stall_s:.3f}',
            f'{answer.max_gap_s:.3f}' if generated else '-',
            f'{answer.ended - answer.sent_at:.3f}',
            item.fault or 'right',
        )
    )


def table(asked: Iterable[ask.Asked]) -> str:
    """All answers under a heading."""
    rows = [row(item) for item in asked]
    return '\n'.join([HEADING, '-' * len(HEADING), *rows])
