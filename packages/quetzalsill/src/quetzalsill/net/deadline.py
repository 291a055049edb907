"""Timeouts that do not discard a result which has already come.

A process that was paused wakes to an answer and to the end of the wait for it
in one turn of the event loop. `asyncio.timeout` then cancels the task although
its answer is there; a `Deadline` lets the task take the answer first.

What has come passes through other tasks before it is with the one that waits,
some of them with work of their own. So a process that notices by the lateness
of the timer that it was paused gives them a moment.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    import types

__all__ = ['LATE_THRESHOLD_S', 'Deadline', 'timeout', 'timeout_at']

# Turns of the loop from received bytes to the task that waits for them: through
# a reader, a task of its own and a shield around that.
GRACE_ITERATIONS = 4
# A timer that is this late tells of a pause; a loaded event loop is less so.
LATE_THRESHOLD_S = 0.02
# How long what came during a pause may take to arrive.
GRACE_S = 0.05


class Deadline:
    """Bounds a block, as an asynchronous context manager.

    Raises `TimeoutError` at its end if it has cancelled the block.
    """

    __slots__ = ('_handle', '_loop', '_timeout', '_when_s')

    def __init__(self, when_s: float | None) -> None:
        """Prepares a deadline.

        Args:
          when_s: Time of the event loop, in seconds; None for no bound.
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
        """Returns the time at which the block is cancelled."""
        return self._when_s

    def reschedule(self, when_s: float | None) -> None:
        """Sets another time at which the block is cancelled."""
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
    """Bounds a block like `asyncio.timeout_at`, but takes what has come."""
    return Deadline(when_s)


def timeout(delay_s: float | None) -> Deadline:
    """Bounds a block like `asyncio.timeout`, but takes what has come."""
    if delay_s is None:
        return Deadline(None)
    return Deadline(asyncio.get_running_loop().time() + delay_s)
