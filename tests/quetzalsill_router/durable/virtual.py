"""An event loop whose clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import random
import selectors

from quetzalsill.telemetry import log

__all__ = ['VirtualLoop', 'run']

START_S = 1000.0


class StalledError(Exception):
    """Nothing is left that could happen, yet somebody waits."""


class _Selector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = START_S

    def select(self, timeout=None):
        if timeout is None:
            raise StalledError
        self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs hours of timers in no time, in the same order each time."""

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)
        # Else a timer due within the clock's resolution would run early.
        self._clock_resolution = 1e-9

    def pause(self, duration_s):
        """Lets the time pass as if the process did not run."""
        self._virtual.now += duration_s

    def time(self):
        """Gives the virtual time in seconds."""
        return self._virtual.now


def run(scenario, *args):
    """Runs a coroutine function on a loop of its own."""
    log.configure('error')
    random.seed(1)
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(scenario(*args))
