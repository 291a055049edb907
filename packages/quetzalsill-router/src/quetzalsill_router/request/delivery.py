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
      gone: The caller has left; pieces are dropped from then on.
    """

    def __init__(self) -> None:
        self.ended = False
        self.error: request_error.RequestError | None = None
        self.gone = False
        self._pieces: list[piece.Piece] = []
        self._news = asyncio.Event()

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
        self._news.set()

    def leave(self) -> None:
        """Notes that the caller is gone and frees what it left behind."""
        self.gone = True
        dropped, self._pieces = self._pieces, []
        for part in dropped:
            if isinstance(part, piece.Items):
                part.release()
        self._news.set()

    async def wait(self, timeout_s: float | None) -> bool:
        """Waits for a piece, the end or the caller's leaving.

        Returns:
          False if none of them came within `timeout_s`.
        """
        if self._news.is_set():
            return True
        try:
            await asyncio.wait_for(self._news.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    def take(self) -> list[piece.Piece]:
        """Returns all pieces that are there, none after the end."""
        taken, self._pieces = self._pieces, []
        if not self.ended and not self.gone:
            self._news.clear()
        return taken
