"""How the pauses of a service's engines depend on load and short slowdowns."""

from __future__ import annotations

import bisect
import collections
import dataclasses
import math
from collections.abc import Callable, Iterable

__all__ = [
    'Bucket',
    'LightLoadMedian',
    'Median',
    'Noise',
    'Recent',
    'ServiceLoad',
    'bucket',
]

# Whether a prompt is prefilled, and the number of the bucket of runs. They sort
# by load.
Bucket = tuple[bool, int]

# Samples from which a median is computed. Within a window of 40, a slowdown of
# some hundred milliseconds is a minority, and an engine that becomes slow for
# long is known as slow after 20 samples. Stochastic approximation in steps of
# 0.3 to 0.03 was tried: in 117 of 200 simulations an engine was off by more
# than a tenth after 40 samples, and in 54 of 200 with a window of 32.
WINDOW = 40
RATIO_WINDOW = 64
RECENT_WINDOW = 8
# Shorter times without samples occur between runs.
MIN_IDLE_S = 1.0
# The median of a full window is computed once for this many samples, as that
# costs more than the rest.
COMPUTE_INTERVAL = 4
MIN_WINDOW = 16
# Buckets of runs double in size, from 0 to 3, 4 to 7 and so on.
MAX_BUCKET = 4
LIGHT_LOAD: Bucket = (False, 0)
# Assumed effect of a prefill beside a run before any sample.
INITIAL_PREFILL_FACTOR = math.log(2.0)
# Samples of one engine are compared only within this time, in which its speed
# is about the same.
MAX_PAIR_S = 5.0
# Samples that the assumed factor of a bucket counts for. With 3, changes of the
# load take longer to learn.
PRIOR_COUNT = 8
# An engine counts as observed between samples that follow within this time.
MAX_INTERVAL_S = 1.0
MAX_FACTOR = math.log(8.0)
# A sample that exceeds what is expected by this factor is in a slowdown. Other
# gaps vary by less than that.
SLOWDOWN = math.log(1.6)
MAX_SLOWDOWN = math.log(20.0)
TIME_CONSTANT_S = 30.0
# Number of samples that the priors count for, and the highest weight of one
# sample, which comes after a time without any.
PRIOR_SAMPLES = 20
# Samples up to which an estimate of slowdowns gains weight.
MAX_INTERFERENCE_SAMPLES = 300
MAX_WEIGHT = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Noise:
    """Short slowdowns: share of time, typical factor, and how often one begins.

    Attributes:
      share: Share of samples that are in a slowdown.
      factor: Typical ratio of such a sample to what is expected.
      onsets_per_s: Number of slowdowns that begin per second at one engine.
    """

    share: float = 0.0
    factor: float = 1.0
    onsets_per_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Interference:
    """What delays the events of a service's runs, as seen by one gateway.

    Attributes:
      noise: Short slowdowns.
      prefill_share: Share of samples that had a prefill beside them.
      samples: Number of samples, at most MAX_INTERFERENCE_SAMPLES.
    """

    noise: Noise = Noise()
    prefill_share: float = 0.0
    samples: int = 0


def combine(found: Iterable[Interference]) -> Interference:
    """Returns the mean over gateways, weighted by their samples."""
    found = [one for one in found if one.samples]
    samples = sum(one.samples for one in found)
    if not samples:
        return Interference()
    slow = sum(one.samples * one.noise.share for one in found)
    # The factor is known only from samples in a slowdown.
    factor = (
        sum(one.samples * one.noise.share * one.noise.factor for one in found)
        / slow
        if slow
        else 1.0
    )

    def mean(value: Callable[[Interference], float]) -> float:
        return sum(one.samples * value(one) for one in found) / samples

    return Interference(
        Noise(slow / samples, factor, mean(lambda one: one.noise.onsets_per_s)),
        mean(lambda one: one.prefill_share),
        min(MAX_INTERFERENCE_SAMPLES, samples),
    )


class Median:
    """Median of the newest samples.

    Attributes:
      value: The median, or the value assumed before the first sample.
    """

    __slots__ = ('_newest', '_sorted', 'value')

    def __init__(self, size: int = WINDOW) -> None:
        """Starts without samples.

        Args:
          size: Number of samples that count.
        """
        self._newest: collections.deque[float] = collections.deque(maxlen=size)
        self._sorted: list[float] = []
        self.value = 0.0

    @property
    def count(self) -> int:
        """Number of samples that count."""
        return len(self._sorted)

    def record(self, sample: float) -> None:
        """Adds a sample."""
        newest = self._newest
        if len(newest) == newest.maxlen:
            self._drop_oldest()
        newest.append(sample)
        values = self._sorted
        bisect.insort(values, sample)
        self.value = values[len(values) // 2]

    def age(self, idle_s: float, half_life_s: float) -> None:
        """Drops the oldest samples after a time without any."""
        if idle_s < MIN_IDLE_S or not self._sorted:
            return
        remaining = max(1.0, self.count * 0.5 ** (idle_s / half_life_s))
        while self.count > remaining:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        del self._sorted[bisect.bisect_left(self._sorted, self._newest[0])]
        self._newest.popleft()


class LightLoadMedian:
    """Median of the newest gaps of an engine, reduced to a light load.

    The ratios are applied when the median is computed: those known when the
    first gaps arrived were inaccurate.

    Attributes:
      value: Logarithm of the median; 0 before the first sample.
    """

    __slots__ = ('_newest', '_pending', 'value')

    def __init__(self) -> None:
        self._newest: collections.deque[tuple[float, Bucket]] = (
            collections.deque(maxlen=WINDOW)
        )
        self._pending = 0
        self.value = 0.0

    @property
    def count(self) -> int:
        """Number of samples that count."""
        return len(self._newest)

    def record(self, log_gap: float, found: Bucket, load: ServiceLoad) -> None:
        """Adds a sample, and computes the median after every few."""
        self._newest.append((log_gap, found))
        self._pending += 1
        if self._pending >= COMPUTE_INTERVAL or self.count < MIN_WINDOW:
            self._pending = 0
            factors = {
                bucket: load.log_factor(bucket)
                for bucket in {bucket for _, bucket in self._newest}
            }
            values = sorted(
                [gap - factors[bucket] for gap, bucket in self._newest]
            )
            self.value = values[len(values) // 2]

    def age(self, idle_s: float, half_life_s: float) -> None:
        """Drops the oldest samples after a time without any."""
        if idle_s < MIN_IDLE_S or not self._newest:
            return
        remaining = max(1.0, self.count * 0.5 ** (idle_s / half_life_s))
        while self.count > remaining:
            self._newest.popleft()


class Recent:
    """Recent samples of one engine, by bucket.

    Attributes:
      bucket: Bucket of the latest sample.
      other: The bucket before it.
      time_s: Loop time of the latest sample.
      is_slow: Whether that was in a slowdown.
    """

    __slots__ = ('_medians', 'bucket', 'is_slow', 'other', 'time_s')

    def __init__(self) -> None:
        """Starts without a sample."""
        self._medians: dict[Bucket, tuple[Median, float]] = {}
        self.bucket: Bucket = LIGHT_LOAD
        self.other: Bucket | None = None
        self.time_s = -math.inf
        self.is_slow = False

    def add(self, log_gap: float, found: Bucket, now: float) -> None:
        """Adds a sample."""
        if found != self.bucket:
            self.other, self.bucket = self.bucket, found
        median, time_s = self._medians.get(found, (None, 0.0))
        if median is None or now - time_s > MAX_PAIR_S:
            median = Median(RECENT_WINDOW)
        median.record(log_gap)
        self._medians[found] = median, now
        self.time_s = now

    def reference(self, found: Bucket, now: float) -> Bucket | None:
        """Returns the bucket to compare a sample in another one with."""
        other = self.other if found == self.bucket else self.bucket
        if other is None or other not in self._medians:
            return None
        return other if now - self._medians[other][1] <= MAX_PAIR_S else None

    def median(self, found: Bucket) -> float:
        """Returns the median of the recent samples in a bucket."""
        return self._medians[found][0].value


class ServiceLoad:
    """Ratios by load and short slowdowns of the engines of one service.

    Ratios are learned by comparing a sample with the recent samples of the same
    engine in another bucket, so they do not depend on which engines a gateway
    uses. The bucket with the fewest runs and no prefill has the factor 1.

    Attributes:
      prefill_share: Moving average of the share of samples with a prefill.
    """

    def __init__(self) -> None:
        self._factors: dict[Bucket, Median] = {}
        self._sampled_s = -math.inf
        self._count = 0
        self._slow_count = 0
        self._compared = 0
        self._share = 0.0
        self._log_factor = 0.0
        self._onsets = 0.0
        self._observed_s = 0.0
        self.prefill_share = 0.0

    @property
    def noise(self) -> Noise:
        """Short slowdowns."""
        onsets_per_s = (
            self._onsets / self._observed_s if self._observed_s else 0.0
        )
        return Noise(self._share, math.exp(self._log_factor), onsets_per_s)

    @property
    def interference(self) -> Interference:
        """What delays events, as seen by this gateway."""
        return Interference(
            self.noise,
            self.prefill_share,
            min(MAX_INTERFERENCE_SAMPLES, self._compared),
        )

    def log_factor(self, found: Bucket) -> float:
        """Returns the logarithm of a gap's ratio to one at a light load."""
        is_prefilling, number = found
        quiet = self._highest(False, number)
        if not is_prefilling:
            return quiet
        if not any(busy for busy, _ in self._factors):
            return INITIAL_PREFILL_FACTOR + quiet
        return max(quiet, self._highest(True, number))

    def _highest(self, is_prefilling: bool, number: int) -> float:
        """Returns the highest factor of a load up to a number of runs.

        A higher load makes no engine faster, so a lower factor is an error of
        the few samples that it was learned from.
        """
        return max(
            (
                factor.value
                for (busy, lower), factor in self._factors.items()
                if busy == is_prefilling and lower <= number
            ),
            default=0.0,
        )

    def learn_ratio(
        self, recent: Recent, log_gap: float, found: Bucket, now: float
    ) -> None:
        """Learns from a sample and the engine's recent ones in other buckets.

        Args:
          recent: Recent samples of the engine, without this one.
          log_gap: Logarithm of the gap.
          found: Its bucket.
          now: Loop time.
        """
        other = recent.reference(found, now)
        if other is None:
            return
        ratio = log_gap - recent.median(other)
        if abs(ratio) > MAX_FACTOR:
            return
        # Only the factor of the higher load is learned, from that of the lower
        # one. If each were learned from the other, both would drift.
        if found > other:
            self._learn(found, self.log_factor(other) + ratio)
        else:
            self._learn(other, self.log_factor(found) - ratio)

    def record(
        self,
        recent: Recent,
        excess: float | None,
        now: float,
        *,
        is_prefilling: bool,
    ) -> None:
        """Records whether a sample is in a slowdown.

        Args:
          recent: Recent samples of the engine, without this one.
          excess: Logarithm of its ratio to what is expected; None if unknown.
          now: Loop time.
          is_prefilling: Whether there was a prefill beside it.
        """
        self._count += 1
        interval_s, self._sampled_s = now - self._sampled_s, now
        weight = min(
            MAX_WEIGHT,
            max(
                interval_s / TIME_CONSTANT_S, 1 / (self._count + PRIOR_SAMPLES)
            ),
        )
        self.prefill_share += weight * (is_prefilling - self.prefill_share)
        if excess is None:
            return
        self._compared += 1
        is_slow = excess > SLOWDOWN
        self._share += weight * (is_slow - self._share)
        if is_slow:
            self._slow_count += 1
            weight_slow = max(MAX_WEIGHT, 1 / self._slow_count)
            bounded = min(MAX_SLOWDOWN, excess)
            self._log_factor += weight_slow * (bounded - self._log_factor)
        since_s = now - recent.time_s
        if 0.0 < since_s <= MAX_INTERVAL_S:
            is_onset = is_slow and not recent.is_slow
            self._onsets += weight * (is_onset - self._onsets)
            self._observed_s += weight * (since_s - self._observed_s)
        recent.is_slow = is_slow

    def _learn(self, found: Bucket, value: float) -> None:
        factor = self._factors.get(found)
        if factor is None:
            factor = Median(RATIO_WINDOW)
            prior = self.log_factor(found)
            for _ in range(PRIOR_COUNT):
                factor.record(prior)
            self._factors[found] = factor
        factor.record(min(MAX_FACTOR, max(-MAX_FACTOR, value)))


# Loads of a service without samples.
PRIOR = ServiceLoad()


def bucket(runs: int, *, is_prefilling: bool) -> Bucket:
    """Returns the bucket of a load.

    Args:
      runs: Number of other runs at the engine.
      is_prefilling: Whether the engine prefills a prompt.
    """
    number = max(0, int(runs).bit_length() - 2)
    return bool(is_prefilling), min(MAX_BUCKET, number)
