"""Hands the pieces of an answer from its request to its caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_router.request import piece

if TYPE_CHECKING:
    from quetzalsill.error import request as request_error

__all__ = ['Delivery']


class Delivery:
    """A buffer between the task of a request and the caller's connection.

    It needs no bound of its own: a sidecar sends no more items than were
    released after they had been written to the caller.

    Attributes:
      ended: Nothing follows what is buffered.
      error: The failure that ended the answer; None if it is whole.
      silent: Nothing came for a while; until the next `take`.
      gone: The caller has left; pieces are dropped from then on.
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
        """Adds a piece; released at once if nobody will take it."""
        if self.disconnected:
            if isinstance(part, piece.Items):
                part.release()
            return
        self._pieces.append(part)
        self._ready.set()

    def end(self, error: request_error.RequestError | None = None) -> None:
        """Marks the end of the answer, whole or failed; the first counts."""
        if self.ended:
            return
        self.ended = True
        self.error = error
        self._stop_idle_watch()
        self._ready.set()

    def disconnect(self) -> None:
        """Notes that the caller is gone and frees what it left behind."""
        self.disconnected = True
        self._stop_idle_watch()
        dropped, self._pieces = self._pieces, []
        for part in dropped:
            if isinstance(part, piece.Items):
                part.release()
        self._ready.set()

    async def wait(self) -> None:
        """Waits for a piece, the end, a silence or the caller's leaving."""
        await self._ready.wait()

    def watch_idle(self, interval_s: float) -> None:
        """Lets waits end with `silent` set while nothing comes, to the end.

        One timer serves all waits of an answer; a silence so shows after
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
        """Returns all pieces that are there, none after the end."""
        taken, self._pieces = self._pieces, []
        self._taken += len(taken)
        self.idle = False
        if not self.ended and not self.disconnected:
            self._ready.clear()
        return taken
