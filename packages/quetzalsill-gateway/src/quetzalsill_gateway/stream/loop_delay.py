"""Detects pauses of the process, in which the event loop reads nothing."""

from __future__ import annotations

import asyncio
import math

__all__ = ['LoopDelay']

INTERVAL_S = 0.05
# Timers of an idle process are late by less than that.
TOLERANCE_S = 0.01


class LoopDelay:
    """Observes whether timers of the event loop run in time.

    Without a running observer, the loop counts as in time.
    """

    def __init__(self) -> None:
        self._due_s = math.inf
        self._late_until_s = -math.inf

    async def run(self) -> None:
        """Observes until cancelled."""
        clock = asyncio.get_running_loop().time
        while True:
            self._due_s = clock() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            if clock() - self._due_s > TOLERANCE_S:
                self._late_until_s = clock()

    def was_late(self, since_s: float, now: float) -> bool:
        """Whether the loop was late at some time since `since_s`.

        What arrived in a pause is read before or after the timer that was late,
        so an overdue timer counts too.
        """
        is_overdue = now - self._due_s > TOLERANCE_S
        return is_overdue or self._late_until_s >= since_s
