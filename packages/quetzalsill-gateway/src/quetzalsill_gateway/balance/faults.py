"""Outlier detection: a decaying failure score per upstream.

A server that fails its requests within milliseconds while its health check
passes, or that flaps, is always idle, so a balancer sends it ever more work.
If each gateway detects that alone, each loses a request or two to it: one such
engine failed twenty generations in a row.

Gateways therefore add up their failures. Two within a few seconds exclude an
engine, for longer the more failures were consecutive; after that, one request
at a time probes it.
"""

from __future__ import annotations

import dataclasses
import enum

__all__ = ['FailureScore', 'HealthState', 'health_state']

# Half-life of a failure: decay alone lets traffic return to a server that has
# recovered.
HALF_LIFE_S = 3.0
# Each further consecutive failure doubles the half-life, up to a factor of
# eight.
MAX_DOUBLINGS = 3
# The request may be the cause of a single failure, but not of two within a
# half-life.
FAULTY_SCORE = 1.5
HEALTHY_SCORE = 0.5


class HealthState(enum.Enum):
    """Whether an upstream takes all requests, single probes or none."""

    HEALTHY = 'sound'
    ON_TRIAL = 'on_trial'
    FAULTY = 'faulty'


@dataclasses.dataclass(slots=True, eq=False)
class FailureScore:
    """Decaying count of the failures of one upstream, as seen by one gateway.

    Attributes:
      score: Score at `at_s`.
      at_s: Loop time of the last failure.
      consecutive: Failures since the last success.
    """

    score: float = 0.0
    at_s: float = 0.0
    consecutive: int = 0

    def decayed(self, now: float) -> float:
        """Returns the score, decayed to `now`."""
        doublings = min(max(0, self.consecutive - 1), MAX_DOUBLINGS)
        half_life_s = HALF_LIFE_S * 2**doublings
        return self.score * 0.5 ** ((now - self.at_s) / half_life_s)

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """Adds a failure; one of weight below 1 is not consecutive."""
        self.score = self.decayed(now) + weight
        self.at_s = now
        self.consecutive += weight >= 1.0

    def record_success(self) -> None:
        """Resets the count of consecutive failures."""
        self.consecutive = 0


def health_state(score: float) -> HealthState:
    """Returns the state for the summed score of all gateways."""
    if score >= FAULTY_SCORE:
        return HealthState.FAULTY
    return (
        HealthState.ON_TRIAL if score >= HEALTHY_SCORE else HealthState.HEALTHY
    )
