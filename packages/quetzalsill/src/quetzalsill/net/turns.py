"""Divides the time of the event loop between connections with much to parse."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable

__all__ = ['Turns']

# Parsing takes at most the second of these out of each of the first.
WINDOW_S = 0.008
BUDGET_S = 0.004

Step = Callable[[], None]


class Turns:
    """Limits the share of time in which bytes are parsed.

    While the share is used up, connections wait and parse in turn; the event
    loop serves everything else between two turns.
    """

    def __init__(self) -> None:
        self._steps: collections.deque[Step] = collections.deque()
        self._is_scheduled = False
        self._window_end_s = 0.0
        self._spent_s = 0.0

    def left_s(self, now_s: float) -> float:
        """Returns for how long a connection may parse now, in seconds.

        Args:
          now_s: Loop time.
        """
        if now_s >= self._window_end_s:
            self._window_end_s = now_s + WINDOW_S
            self._spent_s = 0.0
        return BUDGET_S - self._spent_s

    def spend(self, took_s: float) -> None:
        """Records that parsing took some time, in seconds."""
        self._spent_s += took_s

    def add(self, step: Step) -> None:
        """Runs a step once, after those that were added before.

        Args:
          step: Parses while time is left, but at least a little; it may add
            itself again.
        """
        self._steps.append(step)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        loop = asyncio.get_running_loop()
        # Steps that are added meanwhile wait for the next iteration.
        for _ in range(len(self._steps)):
            self._steps.popleft()()
            if self.left_s(loop.time()) <= 0:
                break
        if self._steps:
            self._schedule()
