"""Holds generations back until an engine has the memory for them.

An engine takes what it is sent and, once its memory is full, pushes the newest
of the least urgent runs off and later reads it in again: that costs its prompt
a second time and its caller a long pause. So a generation waits here, while its
caller hardly notices, until some engine is expected to have room to its end.

What can no longer begin in time gives way to what can: served first, it would
make the next late as well, and so on for as long as the crowd lasts.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from typing import TYPE_CHECKING

from quetzalsill_gateway import event
from quetzalsill_gateway.balance import choose

if TYPE_CHECKING:
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway import upstream as upstream_lib
    from quetzalsill_gateway.balance import book

__all__ = ['Admission']

# Share of an engine's memory that runs may be expected to need at their ends.
# Not all come to their ends at once.
FULL_SHARE = 1.0
# Requests this urgent are short; they are sent at once.
URGENT = 0
# Beyond this share of its objective a request is late whatever comes.
LATE_SHARE = 0.75
# Callers of a stream give up a few seconds behind its objective.
MOST_WAIT_S = 5.0
POLL_S = 0.02


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    """A request that waits.

    Attributes:
      priority: Rank; 0 is the most urgent.
      number: Grows with each request.
      late_at_s: Loop time from which it is late.
    """

    priority: int
    number: int
    late_at_s: float

    def rank(self, now: float) -> tuple[bool, int, int]:
        """Returns its place in the order."""
        return now >= self.late_at_s, self.priority, self.number


class Admission:
    """The order in which generations of a gateway get their engines."""

    def __init__(
        self, upstreams: upstream_lib.Upstreams, pages: book.Book, zone: str
    ) -> None:
        """Gives out engines among `upstreams`, those of `zone` first."""
        self._upstreams = upstreams
        self._pages = pages
        self._zone = zone
        self._waiting: dict[str, list[_Waiting]] = {}
        self._numbers = itertools.count()

    async def engine(
        self,
        req: exchange_lib.Exchange,
        engine: routing_table.Engine,
        needs_tokens: int,
        avoid: frozenset[str],
    ) -> upstream_lib.Upstream | None:
        """Returns the engine to send to, once it has room.

        Returns:
          None if the service has no engine, or none has had room for as long
          as the caller may be kept waiting.
        """
        chosen = self._choose(req, engine, needs_tokens, avoid)
        queue = self._waiting.setdefault(req.service.name, [])
        if chosen is None or req.priority <= URGENT:
            return chosen
        if not queue and self._fits(chosen, engine, needs_tokens):
            return chosen
        now = asyncio.get_running_loop().time()
        late_s = LATE_SHARE * req.route.objective_s
        waiting = _Waiting(
            req.priority,
            next(self._numbers),
            req.request.received_s + late_s,
        )
        queue.append(waiting)
        try:
            chosen = await self._wait(
                waiting, queue, req, engine, needs_tokens, avoid
            )
        finally:
            queue.remove(waiting)
        waited_s = asyncio.get_running_loop().time() - now
        event.note(
            event.RequestHeld(
                request=req.id_text,
                waited_ms=round(waited_s * 1000, 1),
                waiting=len(queue),
                admitted=chosen is not None,
            )
        )
        return chosen

    async def _wait(
        self,
        waiting: _Waiting,
        queue: list[_Waiting],
        req: exchange_lib.Exchange,
        engine: routing_table.Engine,
        needs_tokens: int,
        avoid: frozenset[str],
    ) -> upstream_lib.Upstream | None:
        loop = asyncio.get_running_loop()
        end_s = min(loop.time() + MOST_WAIT_S, req.deadline_s)
        while loop.time() < end_s:
            await asyncio.sleep(POLL_S)
            now = loop.time()
            if min(queue, key=lambda other: other.rank(now)) is not waiting:
                continue
            chosen = self._choose(req, engine, needs_tokens, avoid)
            if chosen is None or self._fits(chosen, engine, needs_tokens):
                return chosen
        return None

    def _choose(
        self,
        req: exchange_lib.Exchange,
        engine: routing_table.Engine,
        needs_tokens: int,
        avoid: frozenset[str],
    ) -> upstream_lib.Upstream | None:
        return choose.choose_engine(
            self._upstreams.of(req.service.name),
            self._pages,
            self._zone,
            engine,
            needs_tokens,
            avoid,
        )

    def _fits(
        self,
        chosen: upstream_lib.Upstream,
        engine: routing_table.Engine,
        needs_tokens: int,
    ) -> bool:
        tokens = self._pages.page(chosen).reserved_tokens + needs_tokens
        return tokens <= FULL_SHARE * max(1, engine.memory_tokens)
