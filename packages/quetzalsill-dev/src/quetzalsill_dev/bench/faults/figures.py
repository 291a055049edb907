"""Compares the responses to callers with what ran on the upstreams."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill_dev.bench.faults import callers
    from quetzalsill_dev.bench.faults import testbed as testbed_lib

__all__ = ['Figures', 'Stall', 'classify', 'compute', 'has_violations']

VIOLATIONS = ('doubled', 'lost', 'torn', 'foreign', 'untrue_refusals')


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
      accepted: Requests whose answer began or whose acceptance was confirmed.
      whole: Requests with a complete answer.
      refused: Requests whose error says that they did not run.
      untrue_refusals: Refused requests that did run.
      failed: Requests whose error says that they ran and failed.
      unknown: Requests whose error says that their outcome is unknown.
      cut: Requests whose connection failed, and which had no idempotency key.
      doubled: Requests that ran more than once, though they must not.
      lost: Accepted durable requests without a complete answer, unless they
        must not run twice and the error says that they ran or may have run.
      torn: Answers that ended as complete, but lack, repeat or reorder tokens.
      foreign: Answers that were generated for another request.
      stalls: Stall times of the complete answers, by kind.
      codes: How often each error code was returned.
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


def compute(
    records: list[callers.RequestRecord], executions: testbed_lib.Executions
) -> Figures:
    """Computes the figures of a phase."""
    verdicts = collections.Counter(
        verdict
        for record in records
        for verdict in classify(record, executions)
    )
    return Figures(
        asked=len(records),
        accepted=sum(record.accepted for record in records),
        **{
            name: verdicts[name]
            for name in (
                'whole', 'refused', 'failed', 'unknown', 'cut', *VIOLATIONS
            )
        },
        stalls=_stalls(records, executions),
        codes=dict(collections.Counter(o.code for o in records if o.code)),
    )  # fmt: skip


def has_violations(computed: Figures) -> bool:
    """Whether a guarantee was violated."""
    return any(getattr(computed, name) for name in VIOLATIONS)


def classify(
    record: callers.RequestRecord, executions: testbed_lib.Executions
) -> Iterable[str]:
    """Yields the outcome of one request and the guarantees it violates."""
    count = executions.count(record.ask)
    yield _outcome(record, executions)
    if record.ask.kind.once and count > 1:
        yield 'doubled'
    if record.not_run and count and not record.repeats:
        yield 'untrue_refusals'
    if _is_lost(record):
        yield 'lost'


def _outcome(
    record: callers.RequestRecord, executions: testbed_lib.Executions
) -> str:
    if record.answered:
        return _check_answer(record, executions)
    if record.status == 0:
        return 'cut'
    if record.not_run is None:
        return 'unknown'
    return 'refused' if record.not_run else 'failed'


def _check_answer(
    record: callers.RequestRecord, executions: testbed_lib.Executions
) -> str:
    if not record.ask.tokens:
        return 'whole'
    names = {text.partition('.')[0] for text in record.texts}
    expected = [
        f'{name}.{index} '
        for name in names
        for index in range(record.ask.tokens)
    ]
    if record.texts != expected:
        return 'torn'
    generated = {
        f'g{number}' for number in executions.generations_of(record.ask)
    }
    return 'whole' if names <= generated else 'foreign'


def _is_lost(record: callers.RequestRecord) -> bool:
    if not (record.ask.kind.durable and record.accepted) or record.answered:
        return False
    # A request that must not run twice can't be restarted once it ran, and its
    # error says so. One that never ran should have been run.
    is_run_reported = record.code != 'never_settled' and not record.not_run
    return not (record.ask.kind.once and is_run_reported)


def _stalls(
    records: list[callers.RequestRecord], executions: testbed_lib.Executions
) -> dict[str, Stall]:
    by_kind: dict[str, list[float]] = collections.defaultdict(list)
    for record in records:
        if 'whole' in classify(record, executions):
            by_kind[record.ask.kind.name].append(record.stall_s)
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
