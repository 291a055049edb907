"""An event loop on virtual time, which advances when no callback is ready."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

__all__ = ['DeadlockError', 'VirtualLoop', 'run']

Result = TypeVar('Result')


class DeadlockError(Exception):
    """Every task waits, and no timer is pending."""


class _Selector(selectors.SelectSelector):
    """Advances virtual time instead of waiting; no file is ever ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advances the time to the next timer."""
        if timeout is None:
            raise DeadlockError
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that jumps from timer to timer.

    Threads and sockets do not work on it, since it never sees a wake-up from
    outside.
    """

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)
        # Timers that are due within one clock resolution run together. That of
        # the wall clock is wider than the intervals to tell apart here.
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._virtual.now_s


def run(work: Callable[[], Awaitable[Result]]) -> Result:
    """Runs a coroutine function on a new virtual loop; returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work())
