"""Figures of a trial, and the ratios between contenders."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from quetzalsill_dev.bench.crowd import mix, trial

__all__ = ['TARGET_RATIOS', 'Figures', 'compute', 'mean', 'ratios']

OK = 200
BASELINES = ('rotate', 'fewest')
# Required ratios to the better baseline, from issue 5.
TARGET_RATIOS = {
    'prompt_stall_p99_s': 0.5,
    'preemptions_per_1000': 0.2,
    'gap_p99_s': 0.7,
    'goodput_tokens_s': 1.0,
}
HIGHER_IS_BETTER = ('goodput_tokens_s',)
MIN_DIVISOR = 1e-9


@dataclasses.dataclass(slots=True)
class Figures:
    """Figures of one trial; times in seconds.

    Goodput counts the tokens of complete answers that ended within the run.
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


def compute(
    requests: Sequence[mix.Request],
    outcomes: Sequence[trial.Outcome],
    preemptions: int,
    warm_up_s: float,
    length_s: float,
) -> Figures:
    """Computes the figures of the requests sent after the warm-up."""
    sent = sum(request.at_s >= warm_up_s for request in requests)
    kept = [o for o in outcomes if o.request.at_s >= warm_up_s]
    complete = [o for o in kept if o.is_complete]
    prompt = [o for o in complete if o.request.kind.profile == 'prompt']
    streamed = [o for o in complete if o.request.kind.profile != 'patient']
    patient = [
        o.took_s for o in complete if o.request.kind.profile == 'patient'
    ]
    stalls = [o.stall_s for o in prompt]
    gaps = [o.gap_s for o in streamed]
    in_time = [
        o.tokens
        for o in outcomes
        if o.is_complete and warm_up_s <= o.ended_s < length_s
    ]
    refused = sum(o.status not in (0, OK) for o in kept)
    return Figures(
        asked=sent,
        whole=len(complete),
        refused=refused,
        broken=len(kept) - len(complete) - refused,
        unfinished=sent - len(kept),
        prompt_stall_p50_s=_quantile(stalls, 0.5),
        prompt_stall_p95_s=_quantile(stalls, 0.95),
        prompt_stall_p99_s=_quantile(stalls, 0.99),
        prompt_stall_max_s=max(stalls, default=0.0),
        small_stall_p99_s=_quantile(
            [
                o.stall_s
                for o in prompt
                if o.request.account == _small_account(o)
            ],
            0.99,
        ),
        first_p95_s=_quantile([o.first_s for o in prompt], 0.95),
        gap_p99_s=_quantile(gaps, 0.99),
        gap_max_s=max(gaps, default=0.0),
        patient_p50_s=_quantile(patient, 0.5),
        patient_p99_s=_quantile(patient, 0.99),
        preemptions_per_1000=1000 * preemptions / max(1, len(requests)),
        goodput_tokens_s=sum(in_time) / (length_s - warm_up_s),
    )


def _small_account(outcome: trial.Outcome) -> str:
    """Returns the account of the same kind that sends only its fair share."""
    return outcome.request.kind.accounts[-1]


def mean(trials: Sequence[Figures]) -> Figures:
    """Returns the mean of each figure over the seeds."""
    return Figures(
        **{
            field.name: sum(getattr(f, field.name) for f in trials)
            / len(trials)
            for field in dataclasses.fields(Figures)
        }
    )


def ratios(by_contender: dict[str, Figures], name: str) -> dict[str, float]:
    """Returns the ratio of a contender to the better baseline, by figure."""
    return {
        figure: getattr(by_contender[name], figure)
        / max(MIN_DIVISOR, _better_baseline(by_contender, figure))
        for figure in TARGET_RATIOS
    }


def _better_baseline(by_contender: dict[str, Figures], figure: str) -> float:
    values = [
        getattr(by_contender[name], figure)
        for name in BASELINES
        if name in by_contender
    ]
    return max(values) if figure in HIGHER_IS_BETTER else min(values)


def _quantile(values: Iterable[float], quantile: float) -> float:
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
