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

__all__ = ['Faults', 'Standing', 'standing']

# A failure is half forgotten after this time, so that a server that recovers
# is tried again by the traffic itself,
HALF_LIFE_S = 3.0
# and one that failed many times in a row after up to eight times that.
MOST_DOUBLINGS = 3
# A single failure may be the request's own; two within a half-life are not.
FAULTY = 1.5
# Below this an upstream is like any other.
SOUND = 0.5


class Standing(enum.Enum):
    """What may be sent to an upstream."""

    SOUND = 'sound'
    ON_TRIAL = 'on_trial'
    FAULTY = 'faulty'


@dataclasses.dataclass(slots=True, eq=False)
class Faults:
    """Failures that one gateway has seen of one upstream.

    Attributes:
      score: Failures, faded to `at_s`.
      at_s: Loop time of the newest.
      in_a_row: Failures since the last success.
    """

    score: float = 0.0
    at_s: float = 0.0
    in_a_row: int = 0

    def recent(self, now: float) -> float:
        """Returns the failures, faded to now."""
        doublings = min(max(0, self.in_a_row - 1), MOST_DOUBLINGS)
        half_life_s = HALF_LIFE_S * 2**doublings
        return self.score * 0.5 ** ((now - self.at_s) / half_life_s)

    def fail(self, now: float, weight: float = 1.0) -> None:
        """Counts a failure; one of less than full weight starts no row."""
        self.score = self.recent(now) + weight
        self.at_s = now
        self.in_a_row += weight >= 1.0

    def succeed(self) -> None:
        """Takes a success: what failed before is no row any more."""
        self.in_a_row = 0


def standing(score: float) -> Standing:
    """Returns what the failures of late, of all gateways, mean."""
    if score >= FAULTY:
        return Standing.FAULTY
    return Standing.ON_TRIAL if score >= SOUND else Standing.SOUND
