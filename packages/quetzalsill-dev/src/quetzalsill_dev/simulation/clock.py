"""An event loop whose time passes only when nothing is left to do."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

__all__ = ['DeadlockError', 'VirtualLoop', 'run']

Result = TypeVar('Result')


class DeadlockError(Exception):
    """Every task waits, and none of them for a time."""


class _Selector(selectors.SelectSelector):
    """Waits in virtual time; no file is ever ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Lets the time pass until the next timer."""
        if timeout is None:
            raise DeadlockError
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Jumps from timer to timer.

    Threads and sockets do not work on it: what wakes the loop from outside is
    never seen.
    """

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)
        # Of two timers that end within it, both run. The wall clock's would be
        # wider than the times that are told apart here.
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._virtual.now_s


def run(work: Callable[[], Awaitable[Result]]) -> Result:
    """Runs a coroutine function on a loop of its own; returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work())
