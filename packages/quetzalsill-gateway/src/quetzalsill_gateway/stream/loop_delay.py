"""Detects pauses of the process, in which the event loop reads nothing."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.net import ticker

__all__ = ['LoopDelay']

# Timers of an idle process are late by less than that.
TOLERANCE_S = 0.01


class LoopDelay:
    """Observes whether the ticks of a periodic loop are in time.

    It uses a loop that the process has anyway, as each further one would wake
    it more often. Without such a loop, the process counts as in time.

    Attributes:
      ticks: Number of ticks.
      late_ticks: Number of ticks that were late.
    """

    def __init__(self) -> None:
        self.ticks = 0
        self.late_ticks = 0
        self._due_s = math.inf
        self._late_until_s = -math.inf

    async def wait(self, ticks: ticker.Ticker, interval_s: float) -> bool:
        """Waits for the next tick, and notes whether it was in time.

        Args:
          ticks: The ticker of the loop.
          interval_s: Time between ticks, in seconds.

        Returns:
          What the ticker returns. It tolerates a delay of up to the interval,
          which would distort samples.
        """
        clock = asyncio.get_running_loop().time
        self._due_s = clock() + interval_s
        try:
            may_act = await ticks.wait(interval_s)
            now = clock()
            self.ticks += 1
            if now - self._due_s > TOLERANCE_S:
                self.late_ticks += 1
                self._late_until_s = now
        finally:
            self._due_s = math.inf
        return may_act

    def was_late(self, since_s: float, now: float) -> bool:
        """Whether the loop was late at some time since `since_s`.

        What arrived in a pause is read before or after the tick that was late,
        so an overdue tick counts too. A pause that ends before the next tick is
        not noticed.
        """
        is_overdue = now - self._due_s > TOLERANCE_S
        return is_overdue or self._late_until_s >= since_s
