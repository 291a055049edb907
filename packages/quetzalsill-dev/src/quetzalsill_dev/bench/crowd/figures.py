"""Figures of a trial, and the ratios between contenders."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from quetzalsill_dev.bench.crowd import mix, trial

__all__ = ['BARS', 'Figures', 'figures', 'mean', 'ratios']

OK = 200
BASELINES = ('rotate', 'fewest')
# Bars of issue 5, as ratios to the better baseline.
BARS = {
    'prompt_stall_p99_s': 0.5,
    'preemptions_per_1000': 0.2,
    'gap_p99_s': 0.7,
    'goodput_tokens_s': 1.0,
}
MORE_IS_BETTER = ('goodput_tokens_s',)
LEAST = 1e-9


@dataclasses.dataclass(slots=True)
class Figures:
    """Measures of one trial; times in seconds.

    Goodput counts the tokens of whole answers that ended within the run.
    """

    asked: int
    whole: int
    refused: int
    broken: int
    unfinished: int
    prompt_stall_p50_s: float
    prompt_stall_p95_s: float
    prompt_stall_p99_s: float
    prompt_stall_max_s: float
    small_stall_p99_s: float
    first_p95_s: float
    gap_p99_s: float
    gap_max_s: float
    patient_p50_s: float
    patient_p99_s: float
    preemptions_per_1000: float
    goodput_tokens_s: float


def figures(
    asks: Sequence[mix.Ask],
    outcomes: Sequence[trial.Outcome],
    preemptions: int,
    warm_up_s: float,
    length_s: float,
) -> Figures:
    """Computes the measures of what was asked after the warm-up."""
    asked = sum(ask.at_s >= warm_up_s for ask in asks)
    kept = [o for o in outcomes if o.ask.at_s >= warm_up_s]
    whole = [o for o in kept if o.whole]
    prompt = [o for o in whole if o.ask.kind.profile == 'prompt']
    streamed = [o for o in whole if o.ask.kind.profile != 'patient']
    patient = [o.took_s for o in whole if o.ask.kind.profile == 'patient']
    stalls = [o.stall_s for o in prompt]
    gaps = [o.gap_s for o in streamed]
    in_time = [
        o.tokens
        for o in outcomes
        if o.whole and warm_up_s <= o.ended_s < length_s
    ]
    refused = sum(o.status not in (0, OK) for o in kept)
    return Figures(
        asked=asked,
        whole=len(whole),
        refused=refused,
        broken=len(kept) - len(whole) - refused,
        unfinished=asked - len(kept),
        prompt_stall_p50_s=_quantile(stalls, 0.5),
        prompt_stall_p95_s=_quantile(stalls, 0.95),
        prompt_stall_p99_s=_quantile(stalls, 0.99),
        prompt_stall_max_s=max(stalls, default=0.0),
        small_stall_p99_s=_quantile(
            [o.stall_s for o in prompt if o.ask.account == _small(o)], 0.99
        ),
        first_p95_s=_quantile([o.first_s for o in prompt], 0.95),
        gap_p99_s=_quantile(gaps, 0.99),
        gap_max_s=max(gaps, default=0.0),
        patient_p50_s=_quantile(patient, 0.5),
        patient_p99_s=_quantile(patient, 0.99),
        preemptions_per_1000=1000 * preemptions / max(1, len(asks)),
        goodput_tokens_s=sum(in_time) / (length_s - warm_up_s),
    )


def _small(outcome: trial.Outcome) -> str:
    """The account of the same kind that asks no more than its share."""
    return outcome.ask.kind.accounts[-1]


def mean(trials: Sequence[Figures]) -> Figures:
    """Mean over seeds of each figure."""
    return Figures(
        **{
            field.name: sum(getattr(f, field.name) for f in trials)
            / len(trials)
            for field in dataclasses.fields(Figures)
        }
    )


def ratios(by_contender: dict[str, Figures], name: str) -> dict[str, float]:
    """Ratio of a contender to the better baseline, for each bar."""
    return {
        bar: getattr(by_contender[name], bar)
        / max(LEAST, _better(by_contender, bar))
        for bar in BARS
    }


def _better(by_contender: dict[str, Figures], bar: str) -> float:
    values = [
        getattr(by_contender[name], bar)
        for name in BASELINES
        if name in by_contender
    ]
    return max(values) if bar in MORE_IS_BETTER else min(values)


def _quantile(values: Iterable[float], quantile: float) -> float:
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
