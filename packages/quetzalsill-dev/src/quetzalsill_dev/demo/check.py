"""Checks the answers against what the stand-ins say that they ran."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill_dev.demo import ask

__all__ = ['check_against_audits']


def check_against_audits(
    asked: Iterable[ask.Asked],
    engine_audits: Iterable[dict[str, Any]],
    service_audits: Iterable[dict[str, Any]],
) -> None:
    """Notes a fault in each answer that no audit accounts for.

    A generation must have finished at an engine with as many tokens as the
    caller got; an order must have been taken once.
    """
    finished = {
        run['generation']: run['tokens']
        for audit in engine_audits
        for run in audit['runs']
        if run['finished']
    }
    taken: dict[str, int] = {}
    for audit in service_audits:
        for name, count in audit['orders'].items():
            taken[name] = taken.get(name, 0) + count
    for item in asked:
        if not item.fault:
            item.fault = _fault(item, finished, taken)


def _fault(
    item: ask.Asked, finished: dict[int, int], taken: dict[str, int]
) -> str:
    if item.ask.order:
        count = taken.get(item.ask.order, 0)
        return '' if count == 1 else f'the order was taken {count} times'
    (name,) = item.answer.generations
    tokens = finished.get(int(name.removeprefix('g')))
    if tokens is None:
        return f'no engine finished generation {name}'
    if tokens != len(item.answer.texts):
        return f'the engine made {tokens} tokens'
    return ''
