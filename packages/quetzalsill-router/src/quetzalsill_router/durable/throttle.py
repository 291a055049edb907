"""Pacing of writes, so that all routers together stay under a budget.

The platform takes several hundred writes a second from all routers, so the
interval between two writes of one router grows with their number. Each kind
of write has its part of `writes_per_s`.

At the pace of 480 routers, counted by `test_cost` with 1 and with 7 requests
a second on each: 250 writes and 202 reads a second for all 480 together, and
349 writes with an idempotency key on every request. Writes do not grow with
requests. A key costs one read when it expires: 2,486 reads a second at 7 keyed
requests a second on each, which is where the platform's two thousand reads
end first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_router.durable import setting

__all__ = [
    'Throttle',
    'max_wait_s',
    'claim_throttle',
    'erase_throttle',
    'heartbeat_s',
    'index_throttle',
    'journal_throttle',
]

# A segment is written once and deleted once, and for each few segments a row
# of the index and the claims are deleted too. Erasing must be the faster.
JOURNAL_SHARE = 0.25
ERASE_SHARE = 0.3
CLAIM_SHARE = 0.25
INDEX_SHARE = 0.1
HEARTBEAT_SHARE = 0.1
BURST = 4.0

RouterCount = Callable[[], int]


class Throttle:
    """A token bucket: an interval between writes, and a few saved up.

    The acceptance, claim and dispatch of a request are writes that follow
    each other; after a lull they go at once.
    """

    def __init__(
        self, min_interval_s: float, writes_per_s: float, routers: RouterCount
    ) -> None:
        self._min_interval_s = min_interval_s
        self._writes_per_s = writes_per_s
        self._routers = routers
        self._tokens = BURST
        self._updated_at = 0.0

    @property
    def interval_s(self) -> float:
        """Gives the interval for the present number of routers."""
        return max(self._min_interval_s, self._routers() / self._writes_per_s)

    async def acquire(self) -> None:
        """Waits until the next write may go."""
        now = asyncio.get_running_loop().time()
        interval_s = self.interval_s
        earned = (now - self._updated_at) / interval_s
        self._tokens = min(BURST, self._tokens + earned)
        self._updated_at = now
        self._tokens -= 1
        if self._tokens < 0:
            await asyncio.sleep(-self._tokens * interval_s)


def max_wait_s(cfg: setting.Durable, throttle: Throttle) -> float:
    """Gives the longest wait for a paced write, in s.

    A record waits for the write under way and for the next to be due.
    """
    return cfg.accept_s + 2 * throttle.interval_s


def journal_throttle(cfg: setting.Durable, routers: RouterCount) -> Throttle:
    """Paces segments of the journal."""
    return Throttle(cfg.flush_s, cfg.writes_per_s * JOURNAL_SHARE, routers)


def erase_throttle(cfg: setting.Durable, routers: RouterCount) -> Throttle:
    """Paces the deletion of what has expired."""
    min_interval_s = cfg.flush_s * JOURNAL_SHARE / ERASE_SHARE
    return Throttle(min_interval_s, cfg.writes_per_s * ERASE_SHARE, routers)


def claim_throttle(cfg: setting.Durable, routers: RouterCount) -> Throttle:
    """Paces transactions that insert claims."""
    return Throttle(cfg.flush_s, cfg.writes_per_s * CLAIM_SHARE, routers)


def index_throttle(cfg: setting.Durable, routers: RouterCount) -> Throttle:
    """Paces transactions that update the index of answers."""
    return Throttle(cfg.flush_s, cfg.writes_per_s * INDEX_SHARE, routers)


def heartbeat_s(cfg: setting.Durable, routers: int) -> float:
    """Gives the interval between two renewals of one router, in s."""
    return max(cfg.heartbeat_s, routers / (cfg.writes_per_s * HEARTBEAT_SHARE))
