"""Checks the answers against the audits of the stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill_dev.demo import requests

__all__ = ['check_against_audits']


def check_against_audits(
    sent: Iterable[requests.SentRequest],
    engine_audits: Iterable[dict[str, Any]],
    service_audits: Iterable[dict[str, Any]],
) -> None:
    """Sets the failure of each answer that the audits contradict.

    A generation must have finished on an engine with as many tokens as the
    caller received; an order must have been received exactly once.
    """
    finished = {
        run['generation']: run['tokens']
        for audit in engine_audits
        for run in audit['runs']
        if run['finished']
    }
    received: dict[str, int] = {}
    for audit in service_audits:
        for name, count in audit['orders'].items():
            received[name] = received.get(name, 0) + count
    for item in sent:
        if not item.failure:
            item.failure = _find_failure(item, finished, received)


def _find_failure(
    item: requests.SentRequest,
    finished: dict[int, int],
    received: dict[str, int],
) -> str:
    if item.request.order:
        count = received.get(item.request.order, 0)
        return '' if count == 1 else f'the order was received {count} times'
    (name,) = item.answer.generations
    tokens = finished.get(int(name.removeprefix('g')))
    if tokens is None:
        return f'no engine finished generation {name}'
    if tokens != len(item.answer.texts):
        return f'the engine generated {tokens} tokens'
    return ''
