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

FAILURES_TO_DOWN = 2
FIRST_PROBE_S = 0.05
LONGEST_PROBE_S = 2.0
LEAST_RETRY_AFTER_S = 1.0
MOST_RETRY_AFTER_S = 30.0


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
        self.since = clock()
        self._clock = clock
        self._failures = 0
        self._failing = asyncio.Event()

    def succeeded(self) -> None:
        """Records that the store answered."""
        self._failures = 0
        self._failing.clear()
        if not self.up:
            self.up = True
            self.since = self._clock()

    def failed(self) -> None:
        """Records that the store did not answer."""
        self._failures += 1
        self._failing.set()
        if self.up and self._failures >= FAILURES_TO_DOWN:
            self.up = False
            self.since = self._clock()

    def retry_after_s(self) -> float:
        """Advises when to come back: the longer down, the later.

        Half as long again as the outage has lasted, spread by jitter so that
        those refused together do not return together.
        """
        if self.up:
            return LEAST_RETRY_AFTER_S
        wait_s = (self._clock() - self.since) * random.uniform(0.5, 1.5)
        return min(MOST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wait_s))

    async def watch(self, probe: Callable[[], Awaitable[object]]) -> None:
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
        wait_s = FIRST_PROBE_S
        while self._failures:
            await asyncio.sleep(wait_s * random.uniform(0.5, 1.0))
            wait_s = min(LONGEST_PROBE_S, 2 * wait_s)
            try:
                await probe()
            except error.PlatformError:
                # The client has reported the failure to this object already.
                continue
