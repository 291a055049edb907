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
        self.gone = False
        self._pieces: list[piece.Piece] = []
        self.silent = False
        self._news = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._taken = 0
        self._taken_before = 0

    def put(self, part: piece.Piece) -> None:
        """Adds a piece; released at once if nobody will take it."""
        if self.gone:
            if isinstance(part, piece.Items):
                part.release()
            return
        self._pieces.append(part)
        self._news.set()

    def end(self, error: request_error.RequestError | None = None) -> None:
        """Marks the end of the answer, whole or failed; the first counts."""
        if self.ended:
            return
        self.ended = True
        self.error = error
        self._stop_watching()
        self._news.set()

    def leave(self) -> None:
        """Notes that the caller is gone and frees what it left behind."""
        self.gone = True
        self._stop_watching()
        dropped, self._pieces = self._pieces, []
        for part in dropped:
            if isinstance(part, piece.Items):
                part.release()
        self._news.set()

    async def wait(self) -> None:
        """Waits for a piece, the end, a silence or the caller's leaving."""
        await self._news.wait()

    def watch_silence(self, interval_s: float) -> None:
        """Lets waits end with `silent` set while nothing comes, to the end.

        One timer serves all waits of an answer; a silence so shows after
        one to two intervals.
        """
        if self.ended or self.gone:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(interval_s, self._look, interval_s)

    def _stop_watching(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _look(self, interval_s: float) -> None:
        if self._taken == self._taken_before:
            self.silent = True
            self._news.set()
        self._taken_before = self._taken
        self.watch_silence(interval_s)

    def take(self) -> list[piece.Piece]:
        """Returns all pieces that are there, none after the end."""
        taken, self._pieces = self._pieces, []
        self._taken += len(taken)
        self.silent = False
        if not self.ended and not self.gone:
            self._news.clear()
        return taken
