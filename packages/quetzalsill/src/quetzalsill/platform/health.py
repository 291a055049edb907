"""Health of the platform's store, for callers that must fail fast."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from quetzalsill.platform import error

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ['StoreHealth']

FAILURES_UNTIL_DOWN = 2
MIN_PROBE_WAIT_S = 0.05
MAX_PROBE_WAIT_S = 2.0
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


class StoreHealth:
    """State of the store as observed by this process.

    Every call records its outcome here. The first failure makes `run_probes`
    send a probe at once; the second consecutive failure marks the store as
    down. Callers therefore see an outage within the timeout of one call plus
    that of one probe, and refused connections within about 0.1 s. A single
    lost response is followed by a successful probe and rejects no requests.
    One successful call marks the store as up again.

    Attributes:
      up: The store responds.
      changed_at: Time by `clock` at which `up` last changed.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.up = True
        self.changed_at = clock()
        self._clock = clock
        self._failures = 0
        self._failing = asyncio.Event()

    def record_success(self) -> None:
        """Records that the store responded."""
        self._failures = 0
        self._failing.clear()
        if not self.up:
            self.up = True
            self.changed_at = self._clock()

    def record_failure(self) -> None:
        """Records that the store did not respond."""
        self._failures += 1
        self._failing.set()
        if self.up and self._failures >= FAILURES_UNTIL_DOWN:
            self.up = False
            self.changed_at = self._clock()

    def retry_after_s(self) -> float:
        """Returns the delay to advise, which grows with the outage.

        It is the duration of the outage with a jitter of one half, so that
        requests rejected together are not retried together.
        """
        if self.up:
            return MIN_RETRY_AFTER_S
        wait_s = (self._clock() - self.changed_at) * random.uniform(0.5, 1.5)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    async def run_probes(self, probe: Callable[[], Awaitable[object]]) -> None:
        """Probes the store while it is failing; runs until cancelled.

        Args:
          probe: A cheap read by a client that records its outcome here.
        """
        while True:
            await self._failing.wait()
            await self._probe_until_up(probe)

    async def _probe_until_up(
        self, probe: Callable[[], Awaitable[object]]
    ) -> None:
        wait_s = MIN_PROBE_WAIT_S
        while self._failures:
            await asyncio.sleep(wait_s * random.uniform(0.5, 1.0))
            wait_s = min(MAX_PROBE_WAIT_S, 2 * wait_s)
            try:
                await probe()
            except error.PlatformError:
                # The client has already recorded the failure here.
                continue
