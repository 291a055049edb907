"""Simulates SIGSTOP and SIGCONT for the process that runs a test."""

from __future__ import annotations

import asyncio
import time

__all__ = ['pause']


def pause(duration_s: float) -> None:
    """Pauses the running event loop; it then runs due timers before it reads.

    If a process is stopped while it waits for input and the timeout expires
    meanwhile, the wait returns no events. The loop therefore runs its timers
    first and reads the received data in its next iteration.

    Args:
      duration_s: Length of the pause, in seconds.
    """
    selector = asyncio.get_running_loop()._selector
    select = selector.select

    def select_nothing_once(timeout: float | None = None) -> list[object]:
        del timeout
        selector.select = select
        return []

    time.sleep(duration_s)
    selector.select = select_nothing_once
