"""Bounds on the router's own retries."""

from __future__ import annotations

import random

__all__ = ['RetryBudget', 'backoff_s']

MAX_BACKOFF_S = 1.0


class RetryBudget:
    """Token bucket that grows with requests and is spent by retries.

    Under overload every attempt fails; without the budget each request
    would then cost several dispatches and the overload would feed itself.
    """

    def __init__(self, ratio: float, burst: int) -> None:
        self._ratio = ratio
        self._burst = float(burst)
        self._tokens = float(burst)

    def record_request(self) -> None:
        """Counts one request of a caller."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spends one retry; False if the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_s(first_s: float, retry: int, rng: random.Random) -> float:
    """Returns the jittered wait before the `retry`-th retry (from 1)."""
    bound = min(MAX_BACKOFF_S, 2 * first_s * 2 ** (retry - 1))
    return rng.uniform(0, bound)
