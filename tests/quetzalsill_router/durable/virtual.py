"""An event loop whose clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import random
import selectors

from quetzalsill.telemetry import log

__all__ = ['VirtualLoop', 'run']

START_S = 1000.0


class StalledError(Exception):
    """No timer or event is pending, but a task is still waiting."""


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
    """Runs hours of timers without waiting, in a deterministic order."""

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)
        # Otherwise a timer due within the clock's resolution would run early.
        self._clock_resolution = 1e-9

    def pause(self, duration_s):
        """Advances the clock as if the process had been suspended."""
        self._virtual.now += duration_s

    def time(self):
        """Returns the virtual time in seconds."""
        return self._virtual.now


def run(scenario, *args):
    """Runs a coroutine function on a new loop with a fixed random seed."""
    log.configure('error')
    random.seed(1)
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(scenario(*args))
