"""Passes the pieces of an answer from the request to the caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_router.request import piece

if TYPE_CHECKING:
    from quetzalsill.error import request as request_error

__all__ = ['Delivery']


class Delivery:
    """A buffer between the task of a request and the caller's connection.

    It needs no limit of its own: a sidecar's credit is renewed only as items
    are released after they were written to the caller.

    Attributes:
      ended: Nothing follows the buffered pieces.
      error: The failure that ended the answer; None if it is complete.
      idle: No piece arrived for a while; reset by the next `take`.
      disconnected: The caller has disconnected; pieces are dropped.
    """

    def __init__(self) -> None:
        self.ended = False
        self.error: request_error.RequestError | None = None
        self.disconnected = False
        self._pieces: list[piece.Piece] = []
        self.idle = False
        self._ready = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._taken = 0
        self._taken_before = 0

    def put(self, part: piece.Piece) -> None:
        """Adds a piece; releases it at once if the caller has disconnected."""
        if self.disconnected:
            if isinstance(part, piece.Items):
                part.release()
            return
        self._pieces.append(part)
        self._ready.set()

    def end(self, error: request_error.RequestError | None = None) -> None:
        """Marks the end of the answer, complete or failed, unless it ended."""
        if self.ended:
            return
        self.ended = True
        self.error = error
        self._stop_idle_watch()
        self._ready.set()

    def disconnect(self) -> None:
        """Marks the caller as disconnected and releases buffered pieces."""
        self.disconnected = True
        self._stop_idle_watch()
        dropped, self._pieces = self._pieces, []
        for part in dropped:
            if isinstance(part, piece.Items):
                part.release()
        self._ready.set()

    async def wait(self) -> None:
        """Waits for a piece, the end, an idle interval or a disconnect."""
        await self._ready.wait()

    def watch_idle(self, interval_s: float) -> None:
        """Ends waits with `idle` set while no piece arrives, until the end.

        One timer serves all waits of an answer, so idleness is detected after
        one to two intervals.
        """
        if self.ended or self.disconnected:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(interval_s, self._check_idle, interval_s)

    def _stop_idle_watch(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check_idle(self, interval_s: float) -> None:
        if self._taken == self._taken_before:
            self.idle = True
            self._ready.set()
        self._taken_before = self._taken
        self.watch_idle(interval_s)

    def take(self) -> list[piece.Piece]:
        """Returns and removes all buffered pieces; empty after the end."""
        taken, self._pieces = self._pieces, []
        self._taken += len(taken)
        self.idle = False
        if not self.ended and not self.disconnected:
            self._ready.clear()
        return taken
