"""Decides what a gateway still does between the stop signal and its exit."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.net import deadline
    from quetzalsill_gateway import exchange as exchange_lib

__all__ = ['Shutdown']


class Shutdown:
    """State of the shutdown of this process.

    Attributes:
      ends_at_s: Loop time at which requests that are still in progress are
        ended; None before the stop signal.
      accepts_requests: Whether new requests are accepted.
      unfinished: Number of requests that the end of the process has ended.
    """

    def __init__(self) -> None:
        self.ends_at_s: float | None = None
        self.accepts_requests = True
        self.unfinished = 0
        self._deadlines: set[deadline.Deadline] = set()

    def begin(self, ends_at_s: float) -> None:
        """Begins the shutdown.

        Args:
          ends_at_s: Loop time at which requests still in progress are ended.
        """
        self.ends_at_s = ends_at_s
        for found in self._deadlines:
            self._advance(found)

    @contextlib.contextmanager
    def limits(self, found: deadline.Deadline) -> Iterator[None]:
        """Lets a deadline expire at the end of the process, if not before.

        Unlike a cancelled task, a request whose deadline expires still answers
        its caller.

        Args:
          found: Deadline of a request, which has been entered.
        """
        self._deadlines.add(found)
        self._advance(found)
        try:
            yield
        finally:
            self._deadlines.discard(found)

    def _advance(self, found: deadline.Deadline) -> None:
        when_s, ends_at_s = found.when(), self.ends_at_s
        if ends_at_s is not None and (when_s is None or when_s > ends_at_s):
            found.reschedule(ends_at_s)

    def stop_accepting(self) -> None:
        """Refuses new requests: all callers can reach other gateways."""
        self.accepts_requests = False

    @property
    def is_due(self) -> bool:
        """Whether requests that are still in progress are being ended."""
        if self.ends_at_s is None:
            return False
        return asyncio.get_running_loop().time() >= self.ends_at_s

    def left_s(self) -> float | None:
        """Returns the time left for requests, in seconds; None for no limit."""
        if self.ends_at_s is None:
            return None
        return self.ends_at_s - asyncio.get_running_loop().time()

    def may_cut(self, req: exchange_lib.Exchange) -> bool:
        """Whether a request that is sent now may be cut off by the exit.

        Its longest duration counts, not the expected one: a caller that is
        refused starts at another gateway at once, while one that is cut off
        may not be able to start again.
        """
        left_s = self.left_s()
        if left_s is None or req.responder.started:
            return False
        return min(req.longest_s, req.remaining_s) > left_s
