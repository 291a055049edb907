"""Judges what callers were told by what the upstreams say has run."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill_dev.bench.faults import callers
    from quetzalsill_dev.bench.faults import field as field_lib

__all__ = ['Figures', 'Stall', 'faulty', 'figures', 'judge']

MUST_BE_ZERO = ('doubled', 'lost', 'torn', 'foreign', 'untrue_refusals')


@dataclasses.dataclass(slots=True)
class Stall:
    """Stall times of one kind of request, in seconds."""

    count: int
    p50_s: float
    p99_s: float
    max_s: float


@dataclasses.dataclass(slots=True)
class Figures:
    """Figures of one phase of a run.

    Attributes:
      asked: Requests sent.
      accepted: Those whose answer began or whose acceptance was told.
      whole: Answered whole.
      refused: Told that they did not run.
      untrue_refusals: Of these, those that did run.
      failed: Told that they ran and failed.
      unknown: Told that their outcome is unknown.
      cut: Their connection broke, and they had no key to repeat them with.
      doubled: Ran more than once, though they may not.
      lost: Accepted patient work without its whole answer, unless it may
        not run twice and its caller was told that it ran or may have.
      torn: Ended as if whole, but not all tokens once and in order.
      foreign: Their answer was made for another request.
      stalls: Stall times of what was answered whole, by kind.
      codes: How often each failure was told.
    """

    asked: int
    accepted: int
    whole: int
    refused: int
    untrue_refusals: int
    failed: int
    unknown: int
    cut: int
    doubled: int
    lost: int
    torn: int
    foreign: int
    stalls: dict[str, Stall]
    codes: dict[str, int]


def figures(told: list[callers.Told], ran: field_lib.Ran) -> Figures:
    """Counts the verdicts of a phase, and its stall times."""
    verdicts = collections.Counter(
        verdict for one in told for verdict in judge(one, ran)
    )
    return Figures(
        asked=len(told),
        accepted=sum(one.accepted for one in told),
        **{
            name: verdicts[name]
            for name in (
                'whole', 'refused', 'failed', 'unknown', 'cut', *MUST_BE_ZERO
            )
        },
        stalls=_stalls(told, ran),
        codes=dict(collections.Counter(o.code for o in told if o.code)),
    )  # fmt: skip


def faulty(found: Figures) -> bool:
    """Whether a promise was broken."""
    return any(getattr(found, name) for name in MUST_BE_ZERO)


def judge(told: callers.Told, ran: field_lib.Ran) -> Iterable[str]:
    """Yields every verdict on one request."""
    count = ran.count(told.ask)
    yield _end(told, ran)
    if told.ask.kind.once and count > 1:
        yield 'doubled'
    if told.not_run and count and not told.repeats:
        yield 'untrue_refusals'
    if _is_lost(told):
        yield 'lost'


def _end(told: callers.Told, ran: field_lib.Ran) -> str:
    if told.answered:
        return _whole_or_not(told, ran)
    if told.status == 0:
        return 'cut'
    if told.not_run is None:
        return 'unknown'
    return 'refused' if told.not_run else 'failed'


def _whole_or_not(told: callers.Told, ran: field_lib.Ran) -> str:
    if not told.ask.tokens:
        return 'whole'
    names = {text.partition('.')[0] for text in told.texts}
    expected = [
        f'{name}.{index} ' for name in names for index in range(told.ask.tokens)
    ]
    if told.texts != expected:
        return 'torn'
    made = {f'g{number}' for number in ran.of(told.ask)}
    return 'whole' if names <= made else 'foreign'


def _is_lost(told: callers.Told) -> bool:
    if not (told.ask.kind.durable and told.accepted) or told.answered:
        return False
    # What may not run twice can't be begun again after it ran; its caller
    # is told so. What never ran should have been.
    told_of_its_run = told.code != 'never_settled' and not told.not_run
    return not (told.ask.kind.once and told_of_its_run)


def _stalls(told: list[callers.Told], ran: field_lib.Ran) -> dict[str, Stall]:
    by_kind: dict[str, list[float]] = collections.defaultdict(list)
    for one in told:
        if 'whole' in judge(one, ran):
            by_kind[one.ask.kind.name].append(one.stall_s)
    return {
        name: Stall(
            len(values),
            _quantile(values, 0.5),
            _quantile(values, 0.99),
            max(values),
        )
        for name, values in sorted(by_kind.items())
    }


def _quantile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
