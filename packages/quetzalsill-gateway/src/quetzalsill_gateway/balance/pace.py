"""Which engines keep the gaps between events that a route allows.

Engines of one service differ in speed, and each is slowed down at random for
short times. A gap is longest while an engine prefills a prompt beside a run. An
engine of half the speed may stay within the limit except when a slowdown and a
prefill coincide: two or three events there are hardly ever late, but a
generation of several seconds almost certainly is.

The cost of a choice is the number of generations that it is expected to make
late: the new one, and those on the engine that its prefill delays.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

from quetzalsill_gateway.fleet import engine_load

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import engine_speed
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['ON_TIME', 'Assessment', 'Assessor', 'Gaps', 'Work', 'is_needed']

# Single gaps exceed their median by about this factor without a slowdown.
GAP_MARGIN = 1.15
# Slowdowns that are rarer than this are single late events.
MIN_NOISE_SHARE = 0.02
# Above this probability a generation is not sent to an engine while it can
# still wait for another one.
MAX_LATE_PROBABILITY = 0.25
# Assessments of one generation are as old as that at most; about the age of the
# estimates that they are made of.
MAX_ASSESSOR_AGE_S = 0.25
# Speeds that stand for the mixture of a service's engines. Evaluated for each
# engine, the mixture costs more than all known engines.
MIXTURE_SIZE = 6


@dataclasses.dataclass(slots=True, frozen=True)
class Gaps:
    """Gaps between events that are expected at an engine, without slowdowns.

    Attributes:
      quiet_s: Gap while the engine prefills nothing.
      busy_s: Gap while it prefills a prompt beside the run.
    """

    quiet_s: float
    busy_s: float

    def scaled(self, factor: float) -> Gaps:
        """Returns the gaps of an engine that is slower by a factor."""
        return Gaps(self.quiet_s * factor, self.busy_s * factor)


@dataclasses.dataclass(slots=True, frozen=True)
class Work:
    """What matters of a generation for its gaps and those of other runs.

    Attributes:
      max_gap_s: Longest gap with which it is on time.
      duration_s: Expected duration at an engine of median speed.
      prefill_s: Time to prefill its prompt at an engine of median speed.
    """

    max_gap_s: float
    duration_s: float
    prefill_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Assessment:
    """Expected effect of sending a generation to an engine.

    Attributes:
      late: Probability that one of its own gaps is too long.
      delayed: Expected number of other runs there that its prefill makes late.
    """

    late: float
    delayed: float

    @property
    def cost(self) -> float:
        """Expected number of generations that are late by this choice."""
        return self.late + self.delayed

    @property
    def is_match(self) -> bool:
        """Whether the engine is fast enough for the generation."""
        return self.late <= MAX_LATE_PROBABILITY


ON_TIME = Assessment(0.0, 0.0)


def is_needed(
    speeds: engine_speed.EngineSpeeds, service: str, max_gap_s: float | None
) -> bool:
    """Whether some engine of a service is expected to exceed a limit.

    Where the engines are alike, no choice among them makes a difference.
    """
    if max_gap_s is None or not speeds.differ(service):
        return False
    noise = speeds.noise(service)
    factor = noise.factor if noise.share >= MIN_NOISE_SHARE else 1.0
    return speeds.longest_gap_s(service) * factor * GAP_MARGIN > max_gap_s


class Assessor:
    """Assesses the engines of a service for one generation.

    What the engines have in common is computed once, and an assessment is kept,
    because a generation that waits assesses each engine every 20 ms.
    An assessor is used for MAX_ASSESSOR_AGE_S at most.
    """

    def __init__(
        self, speeds: engine_speed.EngineSpeeds, service: str, work: Work
    ) -> None:
        """Starts without an assessment.

        Args:
          speeds: Estimated speed of each engine.
          service: The service of the engines.
          work: The generation, with its times at an engine of median speed.
        """
        self._speeds = speeds
        self._service = service
        self._work = work
        self._median_s = speeds.median_event_s(service)
        self._noise = speeds.noise(service)
        self._prefill_share = speeds.prefill_share(service)
        self._mixture = _representatives(speeds.known_slowness(service))
        # By number of the bucket of runs.
        self._median_gaps: dict[int, Gaps] = {}
        self._unknown: dict[int, Assessment] = {}
        self._found: dict[tuple[str, int], Assessment] = {}

    @property
    def has_match(self) -> bool:
        """Whether the fastest known engine is fast enough at a light load."""
        return self._at(min(self._mixture), 0).is_match

    def assess(self, candidate: upstream_lib.Upstream, runs: int) -> Assessment:
        """Returns the expected effect of sending the generation to an engine.

        An engine of unknown speed counts as a mixture of the known ones.

        Args:
          candidate: The engine.
          runs: Number of runs there.
        """
        _, number = engine_load.bucket(runs, is_prefilling=False)
        found = self._found.get((candidate.key, number))
        if found is None:
            estimate = self._speeds.estimate(candidate)
            if estimate.is_known:
                found = self._at(estimate.slowness, number)
            else:
                found = self._at_unknown(number)
            self._found[candidate.key, number] = found
        if not found.delayed:
            return found
        return Assessment(found.late, found.delayed * runs)

    def _at_unknown(self, number: int) -> Assessment:
        """Returns the mean effect over the mixture of engines."""
        found = self._unknown.get(number)
        if found is None:
            mixture = [self._at(slowness, number) for slowness in self._mixture]
            found = self._unknown[number] = Assessment(
                sum(one.late for one in mixture) / len(mixture),
                sum(one.delayed for one in mixture) / len(mixture),
            )
        return found

    def _at(self, slowness: float, number: int) -> Assessment:
        """Returns the effect at an engine, as if it had one other run.

        Args:
          slowness: Time between its events relative to the median.
          number: Number of the bucket of its runs.
        """
        if self._median_s is None:
            return ON_TIME
        median = self._median_gaps.get(number)
        if median is None:
            median = self._median_gaps[number] = self._gaps(number)
        work, noise = self._work, self._noise
        worst_s = median.busy_s * slowness * noise.factor
        if worst_s * GAP_MARGIN <= work.max_gap_s:
            # Most engines: the probabilities below are 0.
            return ON_TIME
        gaps = median.scaled(slowness)
        prefill_s = work.prefill_s * slowness
        here = Work(work.max_gap_s, work.duration_s * slowness, prefill_s)
        return Assessment(
            late_probability(gaps, noise, here, self._prefill_share),
            delay_probability(gaps, noise, work.max_gap_s, prefill_s),
        )

    def _gaps(self, number: int) -> Gaps:
        """Returns the gaps at an engine of median speed."""
        quiet, busy = (
            self._median_s
            * math.exp(self._speeds.log_factor(self._service, (value, number)))
            for value in (False, True)
        )
        return Gaps(quiet, busy)


def _representatives(slowness: Sequence[float]) -> list[float]:
    """Returns a few values at evenly spaced ranks, with both extremes."""
    values = sorted(slowness) or [1.0]
    if len(values) <= MIXTURE_SIZE:
        return values
    last = len(values) - 1
    return [
        values[round(rank * last / (MIXTURE_SIZE - 1))]
        for rank in range(MIXTURE_SIZE)
    ]


def late_probability(
    gaps: Gaps, noise: engine_speed.Noise, work: Work, prefill_share: float
) -> float:
    """Returns the probability that a gap of a generation is too long.

    Args:
      gaps: Gaps expected at the engine.
      noise: Short slowdowns of the service's engines.
      work: The generation, with its times at this engine.
      prefill_share: Share of the time in which an engine prefills.
    """
    if not work.duration_s:
        # It has no event after the first one.
        return 0.0
    limit_s = work.max_gap_s / GAP_MARGIN
    prefill_s = max(work.prefill_s, 1e-3)
    if gaps.quiet_s > limit_s:
        return 1.0
    if gaps.busy_s > limit_s:
        prefills_per_s = prefill_share / prefill_s
        return 1.0 - (1.0 - prefill_share) * math.exp(
            -prefills_per_s * work.duration_s
        )
    if gaps.busy_s * noise.factor <= limit_s:
        return 0.0
    coincide = 1.0
    if gaps.quiet_s * noise.factor <= limit_s:
        lasts_s = (
            noise.share / noise.onsets_per_s if noise.onsets_per_s else 0.0
        )
        coincide -= (1.0 - prefill_share) ** (1.0 + lasts_s / prefill_s)
    return 1.0 - (1.0 - noise.share * coincide) * math.exp(
        -noise.onsets_per_s * coincide * work.duration_s
    )


def delay_probability(
    gaps: Gaps,
    noise: engine_speed.Noise,
    max_gap_s: float,
    prefill_s: float,
) -> float:
    """Returns the probability that a prefill makes a run there late.

    Zero where the run would be late without it.

    Args:
      gaps: Gaps expected at the engine.
      noise: Short slowdowns of the service's engines.
      max_gap_s: Longest gap with which the run is on time.
      prefill_s: Duration of the prefill at this engine.
    """
    limit_s = max_gap_s / GAP_MARGIN
    if gaps.quiet_s * noise.factor > limit_s:
        return 0.0
    if gaps.busy_s > limit_s:
        return 1.0
    if gaps.busy_s * noise.factor <= limit_s:
        return 0.0
    return 1.0 - (1.0 - noise.share) * math.exp(-noise.onsets_per_s * prefill_s)
