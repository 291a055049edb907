"""Cancels work on the engine, with retries until it is confirmed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_sidecar import error, event

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill_sidecar.upstream import engine

__all__ = ['Canceller']

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
GIVE_UP_S = 600.0


class Canceller:
    """Runs cancellations in the background.

    When a task stops reading, the engine may keep generating and holding
    memory until it has confirmed the cancellation.
    """

    def __init__(self, target: engine.Engine) -> None:
        """Makes a canceller for an engine."""
        self._engine = target
        self._tasks: set[asyncio.Task[None]] = set()

    def cancel(self, attempt: str, on_settled: Callable[[], None]) -> None:
        """Cancels in the background; calls `on_settled` at the end."""
        task = asyncio.create_task(self._cancel(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: on_settled())

    async def stop(self) -> None:
        """Drops all pending cancellations."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _cancel(self, attempt: str) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + GIVE_UP_S
        backoff_s = INITIAL_BACKOFF_S
        while loop.time() < deadline:
            try:
                state = await self._engine.cancel(attempt)
            except error.ExchangeError:
                await asyncio.sleep(backoff_s)
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            else:
                event.note(event.EngineCancelled(attempt=attempt, state=state))
                return
        event.note(event.EngineCancelGivenUp(attempt=attempt))
