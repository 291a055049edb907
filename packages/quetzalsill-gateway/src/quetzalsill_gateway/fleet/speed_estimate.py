"""Estimates of engine speeds: their data, and how they are combined."""

from __future__ import annotations

import dataclasses
import math
import statistics
from collections.abc import Iterable

__all__ = [
    'HALF_LIFE_S',
    'MAX_SAMPLES',
    'MIN_SAMPLES',
    'NO_SUMMARY',
    'Estimate',
    'Speed',
    'Summary',
    'combine',
    'estimate',
    'summarize',
]

MAX_SAMPLES = 64
# Without a sample, half of the distance to the median of the service is lost in
# this time, and so is half of the weight.
HALF_LIFE_S = 30.0
# An estimate from fewer samples is not used for the spread or to detect
# slowdowns: it may be half or twice the true value.
MIN_SAMPLES = 10


@dataclasses.dataclass(slots=True, frozen=True)
class Speed:
    """Estimated speed of one incarnation of an engine.

    Attributes:
      key: Key of the upstream.
      event_s: Median time between two events of a run, with few other runs and
        no prefill beside it; 0 if unknown.
      prefill_per_s: Prompt tokens prefilled per second; 0 if unknown.
      samples: Number of samples, at most MAX_SAMPLES.
      observed_s: Loop time of the newest sample.
    """

    key: str
    event_s: float
    prefill_per_s: float
    samples: int
    observed_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Estimate:
    """Speed that is expected of an engine, at the age of its samples.

    Attributes:
      event_s: Time between two events of a run at a light load; None if nothing
        is known of the service.
      prefill_per_s: Prompt tokens prefilled per second; None likewise.
      slowness: Time between events relative to the median of the service.
      is_known: Whether the engine itself was measured, here or by a peer.
    """

    event_s: float | None = None
    prefill_per_s: float | None = None
    slowness: float = 1.0
    is_known: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Summary:
    """Medians over the known engines of a service; None if unknown.

    Attributes:
      event_s: Time between two events.
      prefill_per_s: Tokens prefilled per second.
      slow_prefill_per_s: The slower quartile of it.
      event_tokens: Tokens prefilled in the time between two events.
      spread: Slowest / fastest engine.
      slowness: Time between events of each engine relative to `event_s`.
      unknown: Estimate of an engine that was not measured.
    """

    event_s: float | None = None
    prefill_per_s: float | None = None
    slow_prefill_per_s: float | None = None
    event_tokens: float | None = None
    spread: float = 1.0
    slowness: tuple[float, ...] = ()
    unknown: Estimate = Estimate()


NO_SUMMARY = Summary()


def estimate(speed: Speed, weight: float, summary: Summary) -> Estimate:
    """Returns the estimate of a known engine.

    Args:
      speed: Combined estimate of all gateways.
      weight: Weight left of it; the rest is that of the service's medians.
      summary: Medians of the service.
    """
    event_s, per_s = speed.event_s, speed.prefill_per_s
    if summary.event_tokens is not None:
        if not event_s and per_s:
            event_s = summary.event_tokens / per_s
        elif not per_s and event_s:
            per_s = summary.event_tokens / event_s
    slowness = 1.0
    if summary.event_s is not None:
        if event_s:
            slowness = (event_s / summary.event_s) ** weight
        event_s = summary.event_s * slowness
    elif summary.prefill_per_s is not None and per_s:
        slowness = (summary.prefill_per_s / per_s) ** weight
    if summary.prefill_per_s is not None and per_s:
        ratio = per_s / summary.prefill_per_s
        per_s = summary.prefill_per_s * ratio**weight
    else:
        per_s = summary.slow_prefill_per_s
    return Estimate(
        event_s if summary.event_s is not None else None,
        per_s,
        slowness,
        is_known=True,
    )


def combine(key: str, speeds: Iterable[Speed], now: float) -> Speed:
    """Returns the mean of estimates, weighted by samples and age."""
    event_sum = prefill_sum = event_weight = prefill_weight = 0.0
    samples, observed_s = 0, -math.inf
    for speed in speeds:
        if not speed.samples:
            continue
        samples += speed.samples
        observed_s = max(observed_s, speed.observed_s)
        age_s = max(0.0, now - speed.observed_s)
        weight = speed.samples * 0.5 ** (age_s / HALF_LIFE_S)
        if speed.event_s:
            event_sum += weight * math.log(speed.event_s)
            event_weight += weight
        if speed.prefill_per_s:
            prefill_sum += weight * math.log(speed.prefill_per_s)
            prefill_weight += weight
    return Speed(
        key,
        math.exp(event_sum / event_weight) if event_weight else 0.0,
        math.exp(prefill_sum / prefill_weight) if prefill_weight else 0.0,
        samples,
        observed_s,
    )


def summarize(speeds: list[tuple[Speed, float]]) -> Summary:
    """Returns the medians and the spread of a service.

    Args:
      speeds: Estimate of each engine, and the weight left at its age.
    """
    events = [speed.event_s for speed, _ in speeds if speed.event_s]
    rates = sorted(
        speed.prefill_per_s for speed, _ in speeds if speed.prefill_per_s
    )
    event_s = statistics.median(events) if events else None
    prefill_per_s = statistics.median(rates) if rates else None
    products = [
        speed.event_s * speed.prefill_per_s
        for speed, _ in speeds
        if speed.event_s and speed.prefill_per_s
    ]
    if not products and events and rates:
        products = [event_s * prefill_per_s]
    measured = [
        (speed.event_s / event_s) ** weight
        for speed, weight in speeds
        if speed.event_s and speed.samples >= MIN_SAMPLES
    ]
    slow_per_s = rates[len(rates) // 4] if rates else None
    return Summary(
        event_s,
        prefill_per_s,
        slow_per_s,
        statistics.median(products) if products else None,
        max(measured) / min(measured) if len(measured) > 1 else 1.0,
        tuple(measured),
        Estimate(event_s, slow_per_s),
    )
