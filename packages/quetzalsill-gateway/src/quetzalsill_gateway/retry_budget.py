"""Limits the retries that all gateways together send."""

from __future__ import annotations

import asyncio
import collections

__all__ = ['RetryBudget']

# Nobody counts the retries of all gateways, and those that see few requests
# may still spend their whole share of the allowance. Half of ratio and
# allowance keeps the sum within the limit. With nine tenths of the ratio, it
# was exceeded by requests that reached a server's next incarnation.
SAFETY_FACTOR = 0.5


class RetryBudget:
    """Limits retries per service over a sliding window.

    The limit holds for the sum over all gateways. Each gateway may retry a
    ratio of its own requests, so these parts add up to the ratio of all
    requests, plus its share of a fixed allowance.
    """

    def __init__(
        self, ratio: float, allowance: float, window_s: float, gateways: int
    ) -> None:
        """Starts an empty budget.

        Args:
          ratio: Retries allowed per request.
          allowance: Additional retries allowed to all gateways together.
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
        """Sets the limits; the counts are kept."""
        self._ratio = ratio * SAFETY_FACTOR
        self._allowance = allowance * SAFETY_FACTOR
        self._gateways = gateways
        self._window_s = window_s

    def set_gateway_count(self, gateways: int) -> None:
        """Sets the number of known gateways, including this one.

        A fleet that has grown beyond its settings would otherwise spend the
        allowance several times: with shares for 16, 68 gateways spend twice
        the limit.
        """
        self._known_gateways = gateways

    def record_request(self, service: str) -> None:
        """Counts a caller's request."""
        self._recent_times(self._requests, service).append(self._now())

    def try_spend(self, service: str) -> bool:
        """Consumes one retry; returns False if the budget is exhausted."""
        requests = len(self._recent_times(self._requests, service))
        retries = self._recent_times(self._retries, service)
        share = self._allowance / max(1, self._gateways, self._known_gateways)
        if len(retries) + 1 > requests * self._ratio + share:
            return False
        retries.append(self._now())
        return True

    def record_retry(self, service: str) -> None:
        """Counts a retry that is sent regardless of the budget.

        A request refused by another incarnation of a server has not run and is
        always retried. It did arrive at the server, so it counts against the
        limit.
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
