"""Terminals of attempts that have ended.

A Dispatch, Withdraw or Resume may arrive long after the attempt it names was
refused, withdrawn or finished, as links stall and routers retry. Without a
record, a late Dispatch of a withdrawn attempt would run it.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.wire import message

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['Tombstones']


MAX_SOURCES = 65536


@dataclasses.dataclass(slots=True)
class _Tombstone:
    terminal: message.Message
    expires: float


class Tombstones:
    """Terminals of ended attempts, limited in number and age.

    An attempt whose tombstone was dropped must not look like one that was
    never seen: a router that asks for it late, perhaps long after the one
    that sent it died, would be told that it did not run. Attempt ids of one
    router incarnation increase, so the highest dropped number of each
    incarnation covers all its dropped tombstones.
    """

    def __init__(
        self,
        limit: int,
        clock: Callable[[], float],
        max_sources: int = MAX_SOURCES,
    ) -> None:
        """Makes an empty table.

        Args:
          limit: Maximum number of tombstones.
          clock: Returns the time in seconds.
          max_sources: Maximum number of router incarnations whose highest
            dropped number is kept.
        """
        self._limit = limit
        self._clock = clock
        self._tombstones: collections.OrderedDict[str, _Tombstone] = (
            collections.OrderedDict()
        )
        self._max_sources = max_sources
        self._highest_dropped: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._tombstones)

    def add(
        self, attempt: str, terminal: message.Message, keep_s: float
    ) -> None:
        """Keeps the terminal of an attempt for `keep_s` seconds."""
        self._tombstones[attempt] = _Tombstone(terminal, self._clock() + keep_s)
        while len(self._tombstones) > self._limit:
            dropped, _ = self._tombstones.popitem(last=False)
            self._mark_dropped(dropped)

    def find(self, attempt: str) -> message.Message | None:
        """Returns the terminal of an ended attempt, or None if never seen.

        For an attempt whose tombstone may have been dropped, that is a
        failure of unknown outcome.
        """
        tombstone = self._tombstones.get(attempt)
        if tombstone is not None:
            return tombstone.terminal
        source, counter = _split_id(attempt)
        if counter > self._highest_dropped.get(source, -1):
            return None
        return message.Failed(
            attempt,
            request_error.OutcomeUnknownError.code,
            'no longer remembered',
            base.Ran.UNKNOWN.value,
            False,
        )

    def remove(self, attempt: str) -> None:
        """Removes the tombstone of an attempt."""
        self._tombstones.pop(attempt, None)

    def expire(self) -> None:
        """Drops expired tombstones."""
        now = self._clock()
        expired = [k for k, s in self._tombstones.items() if s.expires <= now]
        for attempt in expired:
            del self._tombstones[attempt]
            self._mark_dropped(attempt)

    def _mark_dropped(self, attempt: str) -> None:
        source, counter = _split_id(attempt)
        highest = max(counter, self._highest_dropped.pop(source, -1))
        self._highest_dropped[source] = highest
        if len(self._highest_dropped) > self._max_sources:
            self._highest_dropped.popitem(last=False)


def _split_id(attempt: str) -> tuple[str, int]:
    source, _, counter = attempt.rpartition('/')
    return source, int(counter) if counter.isdecimal() else 0
