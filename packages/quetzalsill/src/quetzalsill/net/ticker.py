"""Periodic timeout checks in a process that may be paused."""

from __future__ import annotations

import asyncio

__all__ = ['Ticker']


class Ticker:
    """Waits between the iterations of a periodic loop.

    A process that was paused runs its timers before it reads the data that
    arrived meanwhile. The first iteration after a pause therefore cannot tell
    which peers have really been silent for too long.
    """

    __slots__ = ('_was_late',)

    def __init__(self) -> None:
        """Initializes a ticker that was not late yet."""
        self._was_late = False

    async def wait(self, interval_s: float) -> bool:
        """Sleeps until the next iteration.

        Args:
          interval_s: Time between iterations, in seconds.

        Returns:
          Whether this iteration may act on missing messages: it is late by no
          more than the interval, or the previous one was not allowed to.
        """
        clock = asyncio.get_running_loop().time
        due_s = clock() + interval_s
        await asyncio.sleep(interval_s)
        self._was_late = not self._was_late and clock() - due_s > interval_s
        return not self._was_late
