"""Background tasks that must run as long as their process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from quetzalsill import event

__all__ = ['keep_running']

RESTART_DELAY_S = 1.0


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Runs work until cancelled; restarts it whenever it ends or fails.

    Without a restart, an error in such a loop would only show much later: a
    router would keep an old configuration or old peers, or a sidecar would
    send its engine no more commands. After a restart the loop reads its state
    again, and the error is logged with its traceback.

    Args:
      name: Name of the task in the log.
      work: Called for each run.
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
