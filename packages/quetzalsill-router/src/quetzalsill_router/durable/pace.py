"""Throttles writes so that all routers together stay within a budget.

The platform handles several hundred writes per second from all routers, so
the interval between two writes of one router grows with the number of routers.
Each kind of write gets a share of `writes_per_s`.

With 480 routers that each serve 1 or 7 requests per second, `test_cost` counts
250 writes and 202 reads per second in total, and 349 writes if every request
has an idempotency key. The number of writes does not depend on the request
rate. A key costs one read when it expires: with 7 requests per second on each
router, all with a key, that is 2,486 reads per second in total, so the
platform's limit of two thousand reads per second is reached first.
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

# Each segment is written once and deleted once, and deletions also include an
# index row per few segments and the claims, so erasing needs the larger share.
JOURNAL_SHARE = 0.25
ERASE_SHARE = 0.3
CLAIM_SHARE = 0.25
INDEX_SHARE = 0.1
HEARTBEAT_SHARE = 0.1
BURST = 4.0

RouterCount = Callable[[], int]


class Throttle:
    """A token bucket that limits the rate of writes and allows short bursts.

    The acceptance, claim and dispatch of a request are consecutive writes; the
    burst lets them proceed without delay after an idle period.
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
        """Interval between writes for the current number of routers, in s."""
        return max(self._min_interval_s, self._routers() / self._writes_per_s)

    async def acquire(self) -> None:
        """Waits until the next write is allowed."""
        now = asyncio.get_running_loop().time()
        interval_s = self.interval_s
        earned = (now - self._updated_at) / interval_s
        self._tokens = min(BURST, self._tokens + earned)
        self._updated_at = now
        self._tokens -= 1
        if self._tokens < 0:
            await asyncio.sleep(-self._tokens * interval_s)


def max_wait_s(cfg: setting.Durable, throttle: Throttle) -> float:
    """Returns the longest wait for a throttled write, in s.

    A record waits for the write in progress and until the next one is due.
    """
    return cfg.accept_s + 2 * throttle.interval_s


def journal_throttle(cfg: setting.Durable, routers: RouterCount) -> Throttle:
    """Creates the throttle for journal segments."""
    return Throttle(cfg.flush_s, cfg.writes_per_s * JOURNAL_SHARE, routers)


def erase_throttle(cfg: setting.Durable, routers: RouterCount) -> Throttle:
    """Creates the throttle for deletions of expired data."""
    min_interval_s = cfg.flush_s * JOURNAL_SHARE / ERASE_SHARE
    return Throttle(min_interval_s, cfg.writes_per_s * ERASE_SHARE, routers)


def claim_throttle(cfg: setting.Durable, routers: RouterCount) -> Throttle:
    """Creates the throttle for transactions that insert claims."""
    return Throttle(cfg.flush_s, cfg.writes_per_s * CLAIM_SHARE, routers)


def index_throttle(cfg: setting.Durable, routers: RouterCount) -> Throttle:
    """Creates the throttle for transactions that update the answer index."""
    return Throttle(cfg.flush_s, cfg.writes_per_s * INDEX_SHARE, routers)


def heartbeat_s(cfg: setting.Durable, routers: int) -> float:
    """Returns the interval between two renewals of one router, in s."""
    return max(cfg.heartbeat_s, routers / (cfg.writes_per_s * HEARTBEAT_SHARE))
