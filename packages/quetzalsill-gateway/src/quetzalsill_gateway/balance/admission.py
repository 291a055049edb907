"""Holds generations back until an engine has room for them.

An engine takes what it is sent and, once its memory is full, pushes the newest
of the least urgent runs off and later reads it in again: that costs its prompt
a second time and its caller a long pause. It also reads prompts one after
another, so that the last of many begins late. So a generation waits here until
some engine is expected to have the memory to its end, and to read its prompt in
time.

What can no longer begin in time gives way to what can: served first, it would
make the next late as well, and so on for as long as the crowd lasts.
"""

from __future__ import annotations

import asyncio
import bisect
import collections
import dataclasses
import itertools
import random
from typing import TYPE_CHECKING

from quetzalsill_gateway import event, exchange
from quetzalsill_gateway.balance import choose

if TYPE_CHECKING:
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway import upstream as upstream_lib
    from quetzalsill_gateway.balance import book

__all__ = ['Admission']

# Share of an engine's memory that runs may be expected to need at their ends.
# Not all come to their ends at once: five runs at random stages of plans hold
# about nine tenths of that at their common peak.
FULL_SHARE = 1.1
# Urgent requests are short, and gone before the runs beside them have grown.
URGENT_SHARE = 1.2
URGENT = 0
# Beyond this share of its objective a request is late whatever comes.
LATE_SHARE = 0.75
# Callers of a stream give up a few seconds behind its objective.
MOST_WAIT_S = 5.0
POLL_S = 0.02
# Prompts of this reading time may be ahead of one that is late anyway.
LATE_AHEAD_S = 0.3
# Gateways hear of each other's choices about one turn of the poll later. With
# half of the room given out in a turn, what all take meanwhile fits.
RACE_SHARE = 0.5
# Of two equally urgent generations the shorter comes first: it earns its worth
# with less memory and sooner makes room. Bounds between sizes, as multiples of
# the mean output on the route.
SIZES = (0.7, 1.4)
SIZE_RANKS = len(SIZES) + 1
# Weight of the newest generation in that mean.
NEWEST_SIZE = 0.05
# Rank of a request that is late: behind each one that is not.
LATE_RANK = 10 * SIZE_RANKS
LAST_RANK = 2 * LATE_RANK
# One that is late has time: its caller waits for as long as it is told to, but
# longer than this it is better told to come back.
LATE_WAIT_S = 2.0
# A caller that has little time left is told while it can still come back.
LEFT_SHARE = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    """A request that waits.

    Attributes:
      priority: Urgency of the request; 0 is the most urgent.
      size: Which of the sizes it has; 0 is the shortest.
      number: Grows with each request.
      late_at_s: Loop time from which it is late.
      tokens: Memory that it needs.
    """

    priority: int
    size: int
    number: int
    late_at_s: float
    tokens: int

    def rank(self, now: float) -> int:
        """Returns its rank among all that wait; the lowest comes first."""
        rank = self.priority * SIZE_RANKS + self.size
        return rank + (LATE_RANK if now >= self.late_at_s else 0)


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
        self._mean_output: dict[str, float] = {}
        self._most_s: dict[tuple[str, float], float] = {}

    def waiting(self) -> dict[str, dict[int, int]]:
        """Returns the tokens that wait here, by service and rank."""
        now = asyncio.get_running_loop().time()
        found: dict[str, dict[int, int]] = {}
        for service, queue in self._waiting.items():
            ranks: dict[int, int] = collections.Counter()
            for waiting in queue:
                ranks[waiting.rank(now)] += waiting.tokens
            if ranks:
                found[service] = dict(ranks)
        return found

    async def engine(
        self,
        req: exchange_lib.Exchange,
        engine: routing_table.Engine,
        reservation: book.Reservation,
        avoid: frozenset[str],
    ) -> upstream_lib.Upstream | None:
        """Returns the engine to send to, once it has room.

        Returns:
          None if the service has no engine, or none has had room for as long
          as the caller may be kept waiting.
        """
        now = asyncio.get_running_loop().time()
        late_s = LATE_SHARE * req.route.objective_s
        waiting = _Waiting(
            req.priority,
            self._size(req.route.name, reservation),
            next(self._numbers),
            self._first_asked_s(req) + late_s,
            reservation.memory_tokens,
        )
        queue = self._waiting.setdefault(req.service.name, [])
        first = _Try(self, req, engine, reservation, avoid, waiting)
        if not first.has_engine:
            return None
        if not queue:
            chosen = first.take(now)
            if chosen is not None:
                return chosen
        if self._is_hopeless(first, waiting, queue, req):
            self._note(req, now, queue, None)
            return None
        queue.append(waiting)
        try:
            chosen = await self._wait(first, waiting, queue, req)
        finally:
            queue.remove(waiting)
        self._note(req, now, queue, chosen)
        return chosen

    def _is_hopeless(
        self,
        first: _Try,
        waiting: _Waiting,
        queue: list[_Waiting],
        req: exchange_lib.Exchange,
    ) -> bool:
        """Whether it would wait too long; its caller learns for how long."""
        now = asyncio.get_running_loop().time()
        rank = waiting.rank(now)
        others = [one for one in queue if one is not waiting]
        ahead = sum(one.tokens for one in others if one.rank(now) <= rank)
        bound_s = max(waiting.late_at_s - now, LATE_WAIT_S)
        bound_s = min(bound_s, req.left_s * LEFT_SHARE)
        if first.expected_wait_s(rank, ahead) <= bound_s:
            return False
        ahead = sum(one.tokens for one in others)
        req.come_back_s = max(
            exchange.RETRY_AFTER_S, first.expected_wait_s(LAST_RANK, ahead)
        )
        return True

    def _note(
        self,
        req: exchange_lib.Exchange,
        since_s: float,
        queue: list[_Waiting],
        chosen: upstream_lib.Upstream | None,
    ) -> None:
        waited_s = asyncio.get_running_loop().time() - since_s
        event.note(
            event.RequestHeld(
                request=req.id_text,
                waited_ms=round(waited_s * 1000, 1),
                waiting=len(queue),
                admitted=chosen is not None,
            )
        )

    def _size(self, route: str, reservation: book.Reservation) -> int:
        output = reservation.memory_tokens - reservation.prompt_tokens
        mean = self._mean_output.get(route, output)
        self._mean_output[route] = mean + NEWEST_SIZE * (output - mean)
        return bisect.bisect(SIZES, output / max(1.0, mean))

    def _first_asked_s(self, req: exchange_lib.Exchange) -> float:
        """Returns the loop time at which the caller may have asked first.

        One that was refused and comes back has less time left than others on
        its route; its objective counts from its first try.
        """
        route = req.route
        left_s = req.deadline_s - req.request.received_s
        # A route whose time limit was changed is another one here.
        key = (route.name, route.timeout_s)
        most_s = max(left_s, self._most_s.get(key, 0.0))
        self._most_s[key] = most_s
        return req.request.received_s - (most_s - left_s)

    async def _wait(
        self,
        first: _Try,
        waiting: _Waiting,
        queue: list[_Waiting],
        req: exchange_lib.Exchange,
    ) -> upstream_lib.Upstream | None:
        loop = asyncio.get_running_loop()
        end_s = min(loop.time() + MOST_WAIT_S, req.deadline_s)
        while loop.time() < end_s:
            await asyncio.sleep(POLL_S)
            now = loop.time()
            if not first.has_engine:
                return None
            ahead = min(queue, key=lambda one: (one.rank(now), one.number))
            chosen = first.take(now) if ahead is waiting else None
            if chosen is not None:
                return chosen
        return None


class _Try:
    """One request's search for an engine."""

    def __init__(
        self,
        admission: Admission,
        req: exchange_lib.Exchange,
        engine: routing_table.Engine,
        reservation: book.Reservation,
        avoid: frozenset[str],
        waiting: _Waiting,
    ) -> None:
        self._upstreams = admission._upstreams
        self._pages = admission._pages
        self._zone = admission._zone
        self._req = req
        self._engine = engine
        self._reservation = reservation
        self._avoid = avoid
        self._waiting = waiting

    @property
    def has_engine(self) -> bool:
        """Whether there is any engine left to send to."""
        return any(self._open())

    def take(self, now: float) -> upstream_lib.Upstream | None:
        """Returns an engine with room, unless another's turn comes first.

        Gateways see room at the same time. While others wait for it too, each
        takes it with the chance that all together take no more than there is.
        """
        able = [one for one in self._open() if self._fits(one, now)]
        rank = self._waiting.rank(now)
        service = self._req.service.name
        upto = self._pages.waiting_elsewhere(service, rank)
        ahead = self._pages.waiting_elsewhere(service, rank - 1)
        before = ahead + self._homeless()
        if not upto and not before:
            return choose.choose_engine(
                able,
                self._pages,
                self._zone,
                self._engine,
                self._waiting.tokens,
            )
        rooms = [self._room(one) for one in able]
        left = sum(rooms) - before
        if left < self._waiting.tokens:
            return None
        share = RACE_SHARE * left / (upto - ahead + self._waiting.tokens)
        if random.random() >= share:
            return None
        return random.choices(able, rooms)[0]

    def expected_wait_s(self, rank: int, ahead_tokens: int) -> float:
        """Returns how long a request of a rank will wait for memory.

        Memory becomes free as fast as what is held is given back.

        Args:
          rank: Waits behind all that is ranked so or ahead of it.
          ahead_tokens: What of that waits at this gateway.
        """
        open_now = self._open()
        service = self._req.service.name
        wanted = self._waiting.tokens + ahead_tokens + self._homeless()
        wanted += self._pages.waiting_elsewhere(service, rank)
        short = wanted - sum(self._usable(one) for one in open_now)
        held = sum(self._pages.page(one).reserved_tokens for one in open_now)
        if short <= 0 or not held:
            return 0.0
        return short * self._pages.mean_held_s / held

    def _homeless(self) -> int:
        """Tokens of runs whose engines leave, and that will need room soon.

        They come first: a run that finds no room is lost.
        """
        return sum(
            self._pages.page(one).reserved_tokens
            for one in self._upstreams.all()
            if one.leaving and one.service == self._req.service.name
        )

    def _open(self) -> list[upstream_lib.Upstream]:
        found = self._upstreams.of(self._req.service.name)
        return list(choose.open_to_work(found, self._avoid))

    def _room(self, candidate: upstream_lib.Upstream) -> float:
        urgent = self._waiting.priority <= URGENT
        share = URGENT_SHARE if urgent else FULL_SHARE
        used = self._pages.page(candidate).reserved_tokens
        return share * max(1, self._engine.memory_tokens) - used

    def _usable(self, candidate: upstream_lib.Upstream) -> float:
        """Room in pieces that are large enough for a request like this."""
        piece = max(1, self._waiting.tokens)
        return max(0.0, self._room(candidate) // piece * piece)

    def _fits(self, candidate: upstream_lib.Upstream, now: float) -> bool:
        if self._waiting.tokens > self._room(candidate):
            return False
        own_s = self._reservation.prompt_tokens / choose.READ_TOKENS_S
        ahead = self._pages.page(candidate).reading_tokens
        left_s = self._waiting.late_at_s - now
        bound_s = max(left_s - own_s, LATE_AHEAD_S)
        return ahead / choose.READ_TOKENS_S <= bound_s
