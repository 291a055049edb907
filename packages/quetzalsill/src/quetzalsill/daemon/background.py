"""Work in the background that must not end while its process lives."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from quetzalsill import event

__all__ = ['keep_running']

RESTART_DELAY_S = 1.0


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Runs work until cancelled, and again whenever it ends or fails.

    A fault in such a loop would else show much later: as a router that goes
    on with an old configuration or old peers, or a sidecar that gives its
    engine no more orders. Restarted, it reads its state anew, and the fault
    is in the log with its traceback.

    Args:
      name: Names the work in the log.
      work: Starts it; called for each run.
    """
    while True:
        try:
            await work()
        except Exception as exc:
            event.note(
                event.BackgroundFailed(
                    task=name,
                ),
                exc=exc,
            )
        await asyncio.sleep(RESTART_DELAY_S)
