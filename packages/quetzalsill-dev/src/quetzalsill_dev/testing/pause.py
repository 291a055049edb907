"""A pause of the process that runs a test, as a stop signal makes it."""

from __future__ import annotations

import asyncio
import time

__all__ = ['pause']


def pause(duration_s: float) -> None:
    """Pauses the running event loop; due timers run before it reads anything.

    A wait for input that is interrupted by a stop ends with nothing if its time
    is over by then. So the loop runs its timers first, and reads what has come
    in its next turn.

    Args:
      duration_s: In seconds.
    """
    selector = asyncio.get_running_loop()._selector
    select = selector.select

    def select_nothing_once(timeout: float | None = None) -> list[object]:
        del timeout
        selector.select = select
        return []

    time.sleep(duration_s)
    selector.select = select_nothing_once
