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
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_gateway.balance import upstream_stats
    from quetzalsill_gateway.fleet import engine_speed
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['ON_TIME', 'Assessment', 'Gaps', 'Work', 'assess', 'is_needed']

# Single gaps exceed their median by about this factor without a slowdown.
GAP_MARGIN = 1.15
# Slowdowns that are rarer than this are single late events.
MIN_NOISE_SHARE = 0.02
# Above this probability a generation is not sent to an engine while it can
# still wait for another one.
MAX_LATE_PROBABILITY = 0.25


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
    """Whether some engine of a service is expected to exceed a limit."""
    if max_gap_s is None:
        return False
    noise = speeds.noise(service)
    factor = noise.factor if noise.share >= MIN_NOISE_SHARE else 1.0
    return speeds.longest_gap_s(service) * factor * GAP_MARGIN > max_gap_s


def assess(
    speeds: engine_speed.EngineSpeeds,
    stats: upstream_stats.UpstreamStats,
    candidate: upstream_lib.Upstream,
    work: Work,
) -> Assessment:
    """Returns the expected effect of sending a generation to an engine.

    An engine of unknown speed counts as a mixture of the known ones.
    """
    quiet_s = speeds.pause_s(candidate, stats.runs, is_prefilling=False)
    busy_s = speeds.pause_s(candidate, stats.runs, is_prefilling=True)
    if quiet_s is None or busy_s is None:
        return ON_TIME
    gaps = Gaps(quiet_s, busy_s)
    service = candidate.service
    is_known = speeds.is_known(candidate)
    mixture = speeds.known_slowness(service) or (1.0,)
    factors = (speeds.slowness(candidate),) if is_known else mixture
    # The gaps include the slowness of a known engine.
    scales = (1.0,) if is_known else mixture
    noise = speeds.noise(service)
    share = speeds.prefill_share(service)
    late = delayed = 0.0
    for factor, scale in zip(factors, scales, strict=True):
        at_engine = gaps.scaled(scale)
        prefill_s = work.prefill_s * factor
        late += late_probability(
            at_engine,
            noise,
            dataclasses.replace(
                work, duration_s=work.duration_s * factor, prefill_s=prefill_s
            ),
            share,
        )
        delayed += stats.runs * delay_probability(
            at_engine, noise, work.max_gap_s, prefill_s
        )
    return Assessment(late / len(factors), delayed / len(factors))


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
