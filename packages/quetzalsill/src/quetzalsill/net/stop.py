"""Signals that request a process to stop."""

from __future__ import annotations

import asyncio
import signal
from typing import Self

__all__ = ['SIGNALS', 'StopSignal']

SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """SIGTERM and SIGINT as an event of the running loop.

    Repeated signals have no further effect: they neither terminate the
    process early nor shorten its graceful stop.
    """

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def __enter__(self) -> Self:
        """Installs the handlers; needs a running loop in the main thread."""
        loop = asyncio.get_running_loop()
        for number in SIGNALS:
            loop.add_signal_handler(number, self._event.set)
        return self

    def __exit__(self, *_exc: object) -> None:
        """Removes the handlers."""
        loop = asyncio.get_running_loop()
        for number in SIGNALS:
            loop.remove_signal_handler(number)

    @property
    def is_set(self) -> bool:
        """Whether a stop was requested."""
        return self._event.is_set()

    def set(self) -> None:
        """Requests a stop, as a signal would."""
        self._event.set()

    async def wait(self) -> None:
        """Waits until a stop is requested."""
        await self._event.wait()
