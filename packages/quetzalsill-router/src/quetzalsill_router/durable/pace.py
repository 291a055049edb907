"""Pacing of writes, so that all routers together stay under a budget.

The platform takes several hundred writes a second from all routers, so the
interval between two writes of one router grows with their number. Each kind
of write has its part of `writes_per_s`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_router.durable import setting

__all__ = ['Pace', 'claim_pace', 'heartbeat_s', 'index_pace', 'journal_pace']

# A segment is written once and deleted once.
WRITES_PER_SEGMENT = 2
JOURNAL_PART = 0.5
CLAIM_PART = 0.25
INDEX_PART = 0.1
HEARTBEAT_PART = 0.1

Count = Callable[[], int]


class Pace:
    """Keeps an interval between writes; one after a lull goes at once."""

    def __init__(
        self, least_s: float, writes_per_s: float, routers: Count
    ) -> None:
        self._least_s = least_s
        self._writes_per_s = writes_per_s
        self._routers = routers
        self._free_at = 0.0

    @property
    def interval_s(self) -> float:
        """Gives the interval for the present number of routers."""
        return max(self._least_s, self._routers() / self._writes_per_s)

    async def turn(self) -> None:
        """Waits until the next write may go."""
        now = asyncio.get_running_loop().time()
        wait_s = min(self._free_at - now, self.interval_s)
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        self._free_at = now + max(wait_s, 0) + self.interval_s


def journal_pace(cfg: setting.Durable, routers: Count) -> Pace:
    """Paces segments of the journal."""
    rate = cfg.writes_per_s * JOURNAL_PART / WRITES_PER_SEGMENT
    return Pace(cfg.flush_s, rate, routers)


def claim_pace(cfg: setting.Durable, routers: Count) -> Pace:
    """Paces transactions that insert claims."""
    return Pace(cfg.flush_s, cfg.writes_per_s * CLAIM_PART, routers)


def index_pace(cfg: setting.Durable, routers: Count) -> Pace:
    """Paces transactions that update the index of answers."""
    return Pace(cfg.flush_s, cfg.writes_per_s * INDEX_PART, routers)


def heartbeat_s(cfg: setting.Durable, routers: int) -> float:
    """Gives the interval between two renewals of one router, in s."""
    return max(cfg.heartbeat_s, routers / (cfg.writes_per_s * HEARTBEAT_PART))
