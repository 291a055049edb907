"""Periodic work that acts on silence, in a process that may be paused."""

from __future__ import annotations

import asyncio

__all__ = ['Ticker']


class Ticker:
    """Waits between the turns of a periodic loop.

    A process that was paused runs its timers before it reads what arrived
    meanwhile. Whoever is silent for too long then is not known in the first
    turn after it.
    """

    __slots__ = ('_was_late',)

    def __init__(self) -> None:
        """Starts with no turn that was late."""
        self._was_late = False

    async def wait(self, interval_s: float) -> bool:
        """Sleeps until the next turn.

        Args:
          interval_s: Time between turns, in seconds.

        Returns:
          Whether silence counts in this turn: it is late by no more than the
          interval, or the turn before did not count.
        """
        clock = asyncio.get_running_loop().time
        due_s = clock() + interval_s
        await asyncio.sleep(interval_s)
        self._was_late = not self._was_late and clock() - due_s > interval_s
        return not self._was_late
