"""Timeouts that do not discard a result that has already arrived.

After a pause, a process finds both the response and the expired timeout in the
same iteration of the event loop. `asyncio.timeout` then cancels the task
although its response has arrived; a `Deadline` lets the task receive it first.

Received data passes through other tasks, some of them with work of their own,
before it reaches the waiting one. When a late timer shows that the process was
paused, the deadline therefore grants a short grace period.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    import types

__all__ = ['LATE_THRESHOLD_S', 'Deadline', 'timeout', 'timeout_at']

# Iterations of the event loop from received bytes to the waiting task, through
# a stream reader, a separate task and a shield around it.
GRACE_ITERATIONS = 4
# A timer this late indicates a pause; under load alone, timers are less late.
LATE_THRESHOLD_S = 0.02
# How long data received during a pause may take to reach the waiting task.
GRACE_S = 0.05


class Deadline:
    """Asynchronous context manager that limits the time of a block.

    Raises `TimeoutError` on exit if it has cancelled the block.
    """

    __slots__ = ('_handle', '_loop', '_timeout', '_when_s')

    def __init__(self, when_s: float | None) -> None:
        """Initializes a deadline.

        Args:
          when_s: Event loop time, in seconds; None for no deadline.
        """
        self._when_s = when_s
        self._timeout = asyncio.timeout(None)
        self._handle: asyncio.Handle | None = None

    async def __aenter__(self) -> Self:
        self._loop = asyncio.get_running_loop()
        await self._timeout.__aenter__()
        self.reschedule(self._when_s)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: types.TracebackType | None,
    ) -> bool | None:
        self._cancel_timer()
        return await self._timeout.__aexit__(kind, exc, trace)

    def when(self) -> float | None:
        """Returns the event loop time at which the block is cancelled."""
        return self._when_s

    def reschedule(self, when_s: float | None) -> None:
        """Changes the time at which the block is cancelled."""
        self._cancel_timer()
        self._when_s = when_s
        if when_s is not None:
            self._handle = self._loop.call_at(when_s, self._on_timer)

    def _cancel_timer(self) -> None:
        if self._handle is not None:
            self._handle.cancel()

    def _on_timer(self) -> None:
        if self._loop.time() - self._when_s > LATE_THRESHOLD_S:
            self._handle = self._loop.call_later(
                GRACE_S, self._expire, GRACE_ITERATIONS
            )
        else:
            self._expire(GRACE_ITERATIONS)

    def _expire(self, iterations: int) -> None:
        if iterations:
            self._handle = self._loop.call_soon(self._expire, iterations - 1)
        else:
            self._timeout.reschedule(self._loop.time())


def timeout_at(when_s: float | None) -> Deadline:
    """Like `asyncio.timeout_at`, but keeps a result that has arrived."""
    return Deadline(when_s)


def timeout(delay_s: float | None) -> Deadline:
    """Like `asyncio.timeout`, but keeps a result that has arrived."""
    if delay_s is None:
        return Deadline(None)
    return Deadline(asyncio.get_running_loop().time() + delay_s)
