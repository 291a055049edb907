"""Observed output lengths by model and profile.

The length of a response is not known before it ends. It is estimated from the
lengths of others of the same model and profile, given the tokens produced so
far: a response that has reached 2,000 tokens is compared only with those that
reach 2,000.
"""

from __future__ import annotations

import bisect
import dataclasses
import itertools

from hdrh import histogram

__all__ = ['MAX_TOKENS', 'Lengths']

MAX_TOKENS = 1_000_000
SIGNIFICANT_FIGURES = 2
# Building the cumulative counts takes milliseconds, so they are rebuilt only
# once this fraction of the observations is newer than the last build.
MAX_STALE_FRACTION = 0.05
ROTATE_COUNT = 512
ROTATE_S = 900.0
# Prior lengths used until lengths are observed; each counts as one
# observation, so that a few dozen real ones outweigh them.
PRIOR = (16, 32, 64, 128, 256, 512, 1024, 2048, 4096)
# A response longer than any observed is expected to produce as many tokens
# again as it has, as in a heavy-tailed (Pareto) distribution.
TAIL_FACTOR = 1.0


@dataclasses.dataclass(slots=True)
class _CumulativeCounts:
    """Lengths in ascending order, and how many responses are that short."""

    values: list[int]
    totals: list[int]


class _Window:
    """Latest lengths of one kind: the current period and the previous one."""

    def __init__(self, now: float) -> None:
        self.recent = _new_histogram()
        self.previous = _new_histogram()
        for tokens in PRIOR:
            self.previous.record_value(tokens)
        self.started = now
        self.unmerged = 0
        self.counts: _CumulativeCounts | None = None

    def record(self, tokens: int, now: float) -> None:
        # A period ends by count or by time, so that a shift of the
        # distribution shows soon and old lengths are dropped.
        full = self.recent.get_total_count() >= ROTATE_COUNT
        old = now - self.started >= ROTATE_S
        if full or (old and self.recent.get_total_count()):
            self.previous, self.recent = self.recent, _new_histogram()
            self.started = now
            self.counts = None
        self.recent.record_value(min(max(tokens, 1), MAX_TOKENS))
        self.unmerged += 1

    def current_counts(self) -> _CumulativeCounts:
        if (
            self.counts is None
            or self.unmerged > MAX_STALE_FRACTION * self.counts.totals[-1]
        ):
            self.unmerged = 0
            merged = _new_histogram()
            merged.add(self.recent)
            merged.add(self.previous)
            self.counts = _cumulative_counts(merged)
        return self.counts


class Lengths:
    """Distribution of output lengths per (model, profile)."""

    def __init__(self) -> None:
        self._windows: dict[tuple[str, str], _Window] = {}

    def record(self, model: str, profile: str, tokens: int, now: float) -> None:
        """Records the length of a complete response at `now` (monotonic)."""
        self._window(model, profile, now).record(tokens, now)

    def remaining(
        self, model: str, profile: str, produced: int, quantile: float
    ) -> int:
        """Returns a quantile of the remaining tokens, given those produced."""
        window = self._windows.get((model, profile))
        counts = window.current_counts() if window else _PRIOR_COUNTS
        index = bisect.bisect_right(counts.values, produced)
        before = counts.totals[index - 1] if index else 0
        longer = counts.totals[-1] - before
        if longer <= 0:
            return max(1, round(produced * TAIL_FACTOR))
        rank = before + quantile * longer
        position = bisect.bisect_left(counts.totals, rank)
        return max(
            1, counts.values[min(position, len(counts.values) - 1)] - produced
        )

    def _window(self, model: str, profile: str, now: float) -> _Window:
        key = (model, profile)
        if key not in self._windows:
            self._windows[key] = _Window(now)
        return self._windows[key]


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_TOKENS, SIGNIFICANT_FIGURES)


def _cumulative_counts(hist: histogram.HdrHistogram) -> _CumulativeCounts:
    items = [
        (item.value_iterated_to, item.count_added_in_this_iter_step)
        for item in hist.get_recorded_iterator()
    ]
    values = [value for value, _ in items]
    totals = list(itertools.accumulate(count for _, count in items))
    return _CumulativeCounts(values, totals)


def _prior_counts() -> _CumulativeCounts:
    return _CumulativeCounts(list(PRIOR), list(range(1, len(PRIOR) + 1)))


_PRIOR_COUNTS = _prior_counts()
