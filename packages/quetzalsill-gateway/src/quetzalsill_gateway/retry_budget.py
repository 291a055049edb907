"""Share of the retries that all gateways together may send."""

from __future__ import annotations

import asyncio
import collections

__all__ = ['RetryBudget']

# Other gateways may see fewer requests than this one and spend their whole
# share of the allowance all the same; half of both keeps the sum below the
# bound although nobody counts it. With nine tenths of the ratio, sends that
# reached a server's next start broke the bound.
SAFETY_FACTOR = 0.5


class RetryBudget:
    """Bounds retries per service, over a sliding window.

    The bound holds for the sum over all gateways. Each spends within a ratio
    of the requests that it has seen itself, which adds up by itself, and its
    share of a fixed allowance.
    """

    def __init__(
        self, ratio: float, allowance: float, window_s: float, gateways: int
    ) -> None:
        """Starts an empty budget.

        Args:
          ratio: Retries allowed per request.
          allowance: Retries allowed besides, by all gateways together.
          window_s: Length of the window, in seconds.
          gateways: Gateways that share the allowance.
        """
        self._known_gateways = 1
        self.set_limits(ratio, allowance, window_s, gateways)
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def set_limits(
        self, ratio: float, allowance: float, window_s: float, gateways: int
    ) -> None:
        """Sets the bounds; what was counted stays counted."""
        self._ratio = ratio * SAFETY_FACTOR
        self._allowance = allowance * SAFETY_FACTOR
        self._gateways = gateways
        self._window_s = window_s

    def set_gateway_count(self, gateways: int) -> None:
        """Takes how many gateways there are, this one included.

        A fleet that has grown beyond its settings would otherwise spend the
        allowance several times over: with shares for 16, 68 gateways spend
        twice of what all may.
        """
        self._known_gateways = gateways

    def record_request(self, service: str) -> None:
        """Counts a request of a caller."""
        self._recent_times(self._requests, service).append(self._now())

    def try_spend(self, service: str) -> bool:
        """Takes one retry out of the budget; False if none is left."""
        requests = len(self._recent_times(self._requests, service))
        retries = self._recent_times(self._retries, service)
        share = self._allowance / max(1, self._gateways, self._known_gateways)
        if len(retries) + 1 > requests * self._ratio + share:
            return False
        retries.append(self._now())
        return True

    def record_retry(self, service: str) -> None:
        """Counts a request sent again that needs no leave.

        What another start of a server has turned away has not run and is sent
        again all the same; but it has arrived, and counts against the bound.
        """
        self._recent_times(self._retries, service).append(self._now())

    def _recent_times(
        self, counts: dict[str, collections.deque[float]], service: str
    ) -> collections.deque[float]:
        times = counts.setdefault(service, collections.deque())
        oldest = self._now() - self._window_s
        while times and times[0] < oldest:
            times.popleft()
        return times

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
