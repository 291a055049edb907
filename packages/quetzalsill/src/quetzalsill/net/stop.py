"""Signals that ask a process to stop."""

from __future__ import annotations

import asyncio
import signal
from typing import Self

__all__ = ['SIGNALS', 'StopSignal']

SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """SIGTERM and SIGINT as an event of the running loop.

    Both may come any number of times: a second signal neither ends the
    process early nor shortens its graceful stop.
    """

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def __enter__(self) -> Self:
        """Takes over the signals; needs a running loop in the main thread."""
        loop = asyncio.get_running_loop()
        for number in SIGNALS:
            loop.add_signal_handler(number, self._event.set)
        return self

    def __exit__(self, *_exc: object) -> None:
        """Gives the signals back."""
        loop = asyncio.get_running_loop()
        for number in SIGNALS:
            loop.remove_signal_handler(number)

    @property
    def is_set(self) -> bool:
        """Whether a stop was asked for."""
        return self._event.is_set()

    def set(self) -> None:
        """Asks for a stop, as a signal would."""
        self._event.set()

    async def wait(self) -> None:
        """Returns once a stop was asked for."""
        await self._event.wait()
