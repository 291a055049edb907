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
    'Pace',
    'bound_s',
    'claim_pace',
    'erase_pace',
    'heartbeat_s',
    'index_pace',
    'journal_pace',
]

# A segment is written once and deleted once, and for each few segments a row
# of the index and the claims are deleted too. Erasing must be the faster.
JOURNAL_PART = 0.25
ERASE_PART = 0.3
CLAIM_PART = 0.25
INDEX_PART = 0.1
HEARTBEAT_PART = 0.1
BURST = 4.0

Count = Callable[[], int]


class Pace:
    """A token bucket: an interval between writes, and a few saved up.

    The acceptance, claim and dispatch of a request are writes that follow
    each other; after a lull they go at once.
    """

    def __init__(
        self, least_s: float, writes_per_s: float, routers: Count
    ) -> None:
        self._least_s = least_s
        self._writes_per_s = writes_per_s
        self._routers = routers
        self._saved = BURST
        self._as_of = 0.0

    @property
    def interval_s(self) -> float:
        """Gives the interval for the present number of routers."""
        return max(self._least_s, self._routers() / self._writes_per_s)

    async def turn(self) -> None:
        """Waits until the next write may go."""
        now = asyncio.get_running_loop().time()
        interval_s = self.interval_s
        earned = (now - self._as_of) / interval_s
        self._saved = min(BURST, self._saved + earned)
        self._as_of = now
        self._saved -= 1
        if self._saved < 0:
            await asyncio.sleep(-self._saved * interval_s)


def bound_s(cfg: setting.Durable, pace: Pace) -> float:
    """Gives the longest wait for a paced write, in s.

    A record waits for the write under way and for the next to be due.
    """
    return cfg.accept_s + 2 * pace.interval_s


def journal_pace(cfg: setting.Durable, routers: Count) -> Pace:
    """Paces segments of the journal."""
    return Pace(cfg.flush_s, cfg.writes_per_s * JOURNAL_PART, routers)


def erase_pace(cfg: setting.Durable, routers: Count) -> Pace:
    """Paces the deletion of what has expired."""
    least_s = cfg.flush_s * JOURNAL_PART / ERASE_PART
    return Pace(least_s, cfg.writes_per_s * ERASE_PART, routers)


def claim_pace(cfg: setting.Durable, routers: Count) -> Pace:
    """Paces transactions that insert claims."""
    return Pace(cfg.flush_s, cfg.writes_per_s * CLAIM_PART, routers)


def index_pace(cfg: setting.Durable, routers: Count) -> Pace:
    """Paces transactions that update the index of answers."""
    return Pace(cfg.flush_s, cfg.writes_per_s * INDEX_PART, routers)


def heartbeat_s(cfg: setting.Durable, routers: int) -> float:
    """Gives the interval between two renewals of one router, in s."""
    return max(cfg.heartbeat_s, routers / (cfg.writes_per_s * HEARTBEAT_PART))
