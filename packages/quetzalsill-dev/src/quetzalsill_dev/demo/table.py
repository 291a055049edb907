"""Formats the results of the demo."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill_dev.demo import requests

__all__ = ['HEADING', 'format_row', 'format_table']

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


def _format_line(cells: Iterable[str]) -> str:
    pairs = zip(cells, COLUMNS, strict=True)
    return ' '.join(cell.ljust(width) for cell, (_, width) in pairs)


HEADING = _format_line(name for name, _ in COLUMNS)


def format_row(item: requests.SentRequest) -> str:
    """Formats one answer with its stall time, longest token gap and outcome."""
    answer = item.answer
    is_generation = not item.request.order
    return _format_line(
        (
            item.request.kind,
            item.router,
            str(len(answer.texts)) if is_generation else '-',
            f'{answer.first_token_s:.3f}',
            f'{answer.stall_s:.3f}',
            f'{answer.max_gap_s:.3f}' if is_generation else '-',
            f'{answer.ended - answer.sent_at:.3f}',
            item.failure or 'right',
        )
    )


def format_table(sent: Iterable[requests.SentRequest]) -> str:
    """Formats all answers as a table with a heading."""
    rows = [format_row(item) for item in sent]
    return '\n'.join([HEADING, '-' * len(HEADING), *rows])
