"""Observed output lengths by model and profile.

The length of an answer is not known before it ends. What is known is how long
others of its kind were, and how much of it has come already: an answer that
has reached 2,000 tokens is drawn from those that reach 2,000.
"""

from __future__ import annotations

import bisect
import dataclasses
import itertools

from hdrh import histogram

__all__ = ['MAX_TOKENS', 'Lengths']

MAX_TOKENS = 1_000_000
SIGNIFICANT_FIGURES = 2
# Building a curve takes milliseconds, so it is built anew only once this
# part of its observations is newer than it.
STALE_PART = 0.05
ROTATE_COUNT = 512
ROTATE_S = 900.0
# Stands in until lengths were observed; each counts as one observation, so
# that a few dozen real ones outweigh it.
PRIOR = (16, 32, 64, 128, 256, 512, 1024, 2048, 4096)
# Tail beyond the longest answer seen: as many tokens again as were made, as
# in a heavy-tailed (Pareto) distribution.
TAIL_FACTOR = 1.0


@dataclasses.dataclass(slots=True)
class _Curve:
    """Lengths in ascending order with the number of answers up to each."""

    values: list[int]
    totals: list[int]


class _Window:
    """The latest lengths of one kind: this period and the one before."""

    def __init__(self, now: float) -> None:
        self.recent = _new_histogram()
        self.earlier = _new_histogram()
        for tokens in PRIOR:
            self.earlier.record_value(tokens)
        self.began = now
        self.unseen = 0
        self.curve: _Curve | None = None

    def record(self, tokens: int, now: float) -> None:
        # A shift of the distribution must show soon, and one that went by
        # must be forgotten; a period ends by number or by time.
        full = self.recent.get_total_count() >= ROTATE_COUNT
        old = now - self.began >= ROTATE_S
        if full or (old and self.recent.get_total_count()):
            self.earlier, self.recent = self.recent, _new_histogram()
            self.began = now
            self.curve = None
        self.recent.record_value(min(max(tokens, 1), MAX_TOKENS))
        self.unseen += 1

    def curve_now(self) -> _Curve:
        if (
            self.curve is None
            or self.unseen > STALE_PART * self.curve.totals[-1]
        ):
            self.unseen = 0
            both = _new_histogram()
            both.add(self.recent)
            both.add(self.earlier)
            self.curve = _curve(both)
        return self.curve


class Lengths:
    """Distribution of output lengths per (model, profile)."""

    def __init__(self) -> None:
        self._windows: dict[tuple[str, str], _Window] = {}

    def record(self, model: str, profile: str, tokens: int, now: float) -> None:
        """Notes the length of a whole answer, at `now` monotonic seconds."""
        self._window(model, profile, now).record(tokens, now)

    def remaining(
        self, model: str, profile: str, produced: int, quantile: float
    ) -> int:
        """Tokens still to come at a quantile, given those produced."""
        window = self._windows.get((model, profile))
        curve = window.curve_now() if window else _PRIOR_CURVE
        index = bisect.bisect_right(curve.values, produced)
        before = curve.totals[index - 1] if index else 0
        longer = curve.totals[-1] - before
        if longer <= 0:
            return max(1, round(produced * TAIL_FACTOR))
        rank = before + quantile * longer
        found = bisect.bisect_left(curve.totals, rank)
        return max(
            1, curve.values[min(found, len(curve.values) - 1)] - produced
        )

    def _window(self, model: str, profile: str, now: float) -> _Window:
        name = (model, profile)
        if name not in self._windows:
            self._windows[name] = _Window(now)
        return self._windows[name]


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_TOKENS, SIGNIFICANT_FIGURES)


def _curve(hist: histogram.HdrHistogram) -> _Curve:
    items = [
        (item.value_iterated_to, item.count_added_in_this_iter_step)
        for item in hist.get_recorded_iterator()
    ]
    values = [value for value, _ in items]
    totals = list(itertools.accumulate(count for _, count in items))
    return _Curve(values, totals)


def _prior_curve() -> _Curve:
    return _Curve(list(PRIOR), list(range(1, len(PRIOR) + 1)))


_PRIOR_CURVE = _prior_curve()
