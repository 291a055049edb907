"""What is remembered of attempts that are over.

A Dispatch, Withdraw or Resume may arrive long after the attempt it names was
refused, withdrawn or finished: links stall and routers retry. Without a
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
class _Stone:
    terminal: message.Message
    expires: float


class Tombstones:
    """Terminals of attempts that are over, bounded by number and time.

    An attempt whose stone was dropped must not look like one never seen: a
    router that asks for it late, perhaps long after the one that sent it
    died, would be told that it did not run. Attempt ids of one router
    incarnation count upwards, so one number per incarnation remembers all
    that were dropped.
    """

    def __init__(
        self,
        limit: int,
        clock: Callable[[], float],
        max_sources: int = MAX_SOURCES,
    ) -> None:
        """Makes an empty record of at most `limit` stones.

        Args:
          limit: Stones kept.
          clock: Gives the time in seconds.
          max_sources: Router incarnations whose numbers are remembered.
        """
        self._limit = limit
        self._clock = clock
        self._stones: collections.OrderedDict[str, _Stone] = (
            collections.OrderedDict()
        )
        self._max_sources = max_sources
        self._floors: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._stones)

    def add(
        self, attempt: str, terminal: message.Message, keep_s: float
    ) -> None:
        """Remembers how an attempt ended, for `keep_s` seconds."""
        self._stones[attempt] = _Stone(terminal, self._clock() + keep_s)
        while len(self._stones) > self._limit:
            dropped, _ = self._stones.popitem(last=False)
            self._raise_floor(dropped)

    def find(self, attempt: str) -> message.Message | None:
        """Returns the terminal of an attempt that is over, if known.

        For one that may have been dropped it is a failure of unknown
        outcome.
        """
        stone = self._stones.get(attempt)
        if stone is not None:
            return stone.terminal
        source, counter = _split(attempt)
        if counter > self._floors.get(source, -1):
            return None
        return message.Failed(
            attempt,
            request_error.OutcomeUnknownError.code,
            'no longer remembered',
            base.Ran.UNKNOWN.value,
            False,
        )

    def remove(self, attempt: str) -> None:
        """Forgets how an attempt ended."""
        self._stones.pop(attempt, None)

    def expire(self) -> None:
        """Drops what is past its time."""
        now = self._clock()
        expired = [k for k, s in self._stones.items() if s.expires <= now]
        for attempt in expired:
            del self._stones[attempt]
            self._raise_floor(attempt)

    def _raise_floor(self, attempt: str) -> None:
        source, counter = _split(attempt)
        floor = max(counter, self._floors.pop(source, -1))
        self._floors[source] = floor
        if len(self._floors) > self._max_sources:
            self._floors.popitem(last=False)


def _split(attempt: str) -> tuple[str, int]:
    source, _, counter = attempt.rpartition('/')
    return source, int(counter) if counter.isdecimal() else 0
