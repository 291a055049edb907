"""Whether the platform's store answers, for those who must not wait for it."""

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
    """State of the store as this process sees it.

    Every call reports its outcome here. The first failure makes `watch`
    probe at once; the second one in a row makes the store down. So callers
    see an outage within one call's timeout plus one probe's, and a refused
    connection within about 0.1 s, while a single lost answer, which the probe
    contradicts, refuses nobody. One answered call makes it up again.

    Attributes:
      up: The store answers.
      since: Time of `clock` at which that became so.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.up = True
        self.changed_at = clock()
        self._clock = clock
        self._failures = 0
        self._failing = asyncio.Event()

    def record_success(self) -> None:
        """Records that the store answered."""
        self._failures = 0
        self._failing.clear()
        if not self.up:
            self.up = True
            self.changed_at = self._clock()

    def record_failure(self) -> None:
        """Records that the store did not answer."""
        self._failures += 1
        self._failing.set()
        if self.up and self._failures >= FAILURES_UNTIL_DOWN:
            self.up = False
            self.changed_at = self._clock()

    def retry_after_s(self) -> float:
        """Advises when to come back: the longer down, the later.

        Half as long again as the outage has lasted, spread by jitter so that
        those refused together do not return together.
        """
        if self.up:
            return MIN_RETRY_AFTER_S
        wait_s = (self._clock() - self.changed_at) * random.uniform(0.5, 1.5)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    async def run_probes(self, probe: Callable[[], Awaitable[object]]) -> None:
        """Probes while the store fails; runs until cancelled.

        Args:
          probe: One cheap read through a client that reports here.
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
                # The client has reported the failure to this object already.
                continue
