"""Failures of one upstream, as they fade, and what they mean for new work.

Pattern: a server fails its requests within milliseconds while its health check
is good, or goes down and up by turns. It is always empty, so that a balancer
sends it ever more; with many gateways each learns alone, at the price of a
request or two. Twenty generations in a row were lost to one such engine.

So gateways add up their failures. Two within a few seconds take an engine out;
the more failures in a row, the longer; then one request at a time tries it.
"""

from __future__ import annotations

import dataclasses
import enum

__all__ = ['FailureScore', 'HealthState', 'health_state']

# A failure is half forgotten after this time, so that a server that recovers
# is tried again by the traffic itself,
HALF_LIFE_S = 3.0
# and one that failed many times in a row after up to eight times that.
MAX_DOUBLINGS = 3
# A single failure may be the request's own; two within a half-life are not.
FAULTY_SCORE = 1.5
# Below this an upstream is like any other.
HEALTHY_SCORE = 0.5


class HealthState(enum.Enum):
    """What may be sent to an upstream."""

    HEALTHY = 'sound'
    ON_TRIAL = 'on_trial'
    FAULTY = 'faulty'


@dataclasses.dataclass(slots=True, eq=False)
class FailureScore:
    """Failures that one gateway has seen of one upstream.

    Attributes:
      score: Failures, faded to `at_s`.
      at_s: Loop time of the newest.
      consecutive: Failures since the last success.
    """

    score: float = 0.0
    at_s: float = 0.0
    consecutive: int = 0

    def decayed(self, now: float) -> float:
        """Returns the failures, faded to now."""
        doublings = min(max(0, self.consecutive - 1), MAX_DOUBLINGS)
        half_life_s = HALF_LIFE_S * 2**doublings
        return self.score * 0.5 ** ((now - self.at_s) / half_life_s)

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """Counts a failure; one of less than full weight starts no row."""
        self.score = self.decayed(now) + weight
        self.at_s = now
        self.consecutive += weight >= 1.0

    def record_success(self) -> None:
        """Takes a success: what failed before is no row any more."""
        self.consecutive = 0


def health_state(score: float) -> HealthState:
    """Returns what the failures of late, of all gateways, mean."""
    if score >= FAULTY_SCORE:
        return HealthState.FAULTY
    return (
        HealthState.ON_TRIAL if score >= HEALTHY_SCORE else HealthState.HEALTHY
    )
