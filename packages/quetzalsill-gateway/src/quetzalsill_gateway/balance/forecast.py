"""Estimate of the rate at which memory becomes free for a queued request.

Generations release their memory as they end. A queued request gets what remains
of that after requests that arrive later but rank ahead of it, and after engines
that leave and take their memory with them. If nothing remains, the request
would be refused in the end anyway, so it is refused at once.
"""

from __future__ import annotations

import collections
import dataclasses

__all__ = ['Demand', 'freed_tokens_per_s']

# Bursts of requests last for about ten seconds.
WINDOW_S = 10.0
# Several times what one gateway receives within the window.
MAX_ARRIVALS = 4096


@dataclasses.dataclass(slots=True, frozen=True)
class _Arrival:
    at_s: float
    priority: int
    size: int
    tokens: int
    prompt_tokens: int


class Demand:
    """Recent arrivals of generations at this gateway, for one service."""

    def __init__(self) -> None:
        self._arrivals: collections.deque[_Arrival] = collections.deque(
            maxlen=MAX_ARRIVALS
        )

    def record_arrival(
        self,
        now: float,
        priority: int,
        size: int,
        tokens: int,
        prompt_tokens: int = 0,
    ) -> None:
        """Records the arrival of a generation."""
        self._arrivals.append(
            _Arrival(now, priority, size, tokens, prompt_tokens)
        )

    def prompt_share(self, now: float) -> float:
        """Returns the share of prompts in the memory that generations need."""
        self._drop_old(now)
        tokens = sum(one.tokens for one in self._arrivals)
        prompt_tokens = sum(one.prompt_tokens for one in self._arrivals)
        return prompt_tokens / tokens if tokens else 0.0

    def arrivals_per_s(self, now: float) -> float:
        """Returns the number of arrivals per second."""
        self._drop_old(now)
        return len(self._arrivals) / WINDOW_S

    def tokens_ahead_per_s(self, now: float, priority: int, size: int) -> float:
        """Returns the tokens per second that arrive and go ahead of a request.

        Counts shorter generations of the same priority only: more urgent ones
        end soon, and reuse the memory that others of their kind have released.
        """
        self._drop_old(now)
        ahead = sum(
            one.tokens
            for one in self._arrivals
            if one.priority == priority and one.size < size
        )
        return ahead / WINDOW_S

    def _drop_old(self, now: float) -> None:
        while self._arrivals and now - self._arrivals[0].at_s > WINDOW_S:
            self._arrivals.popleft()


def freed_tokens_per_s(
    held_tokens: int,
    mean_held_s: float,
    ahead_per_s: float,
    leaving_tokens_per_s: float,
) -> float:
    """Returns the tokens per second that become free for a request.

    Args:
      held_tokens: Memory that all generations hold.
      mean_held_s: Average time for which a token is held.
      ahead_per_s: Tokens per second that requests ahead of it take.
      leaving_tokens_per_s: Memory per second that is lost with engines that
        leave and are not replaced.
    """
    freed = held_tokens / mean_held_s
    return max(0.0, freed - ahead_per_s - leaving_tokens_per_s)
