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
import itertools
from typing import TYPE_CHECKING

from quetzalsill_gateway import event, exchange
from quetzalsill_gateway.balance import forecast
from quetzalsill_gateway.balance import search as search_lib
from quetzalsill_gateway.balance import waiting as waiting_lib

if TYPE_CHECKING:
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.balance import upstream_stats
    from quetzalsill_gateway.fleet import quota as quota_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['Admission']

# Beyond this share of its objective a request is late whatever comes.
LATE_SHARE = 0.75
# Callers of a stream give up a few seconds behind its objective.
MOST_WAIT_S = 5.0
POLL_S = 0.02
# Weight of the newest generation in the mean output of its route.
NEWEST_SIZE = 0.05
# One that is late has time: its caller waits for as long as it is told to, but
# longer than this it is better told to come back.
LATE_WAIT_S = 2.0
# While no engine can enter, one whose promise has failed looks again, but no
# sooner than this.
LOOK_S = 0.25
# Callers wait for so much of the time that they have left, if told to.
COME_BACK_SHARE = 0.33
# A caller that has little time left is told while it can still come back.
LEFT_SHARE = 0.5


class Admission:
    """The order in which generations of a gateway get their engines."""

    def __init__(
        self,
        upstreams: upstream_lib.Upstreams,
        stats_table: upstream_stats.StatsTable,
        zone: str,
        quota: quota_lib.Quota,
    ) -> None:
        """Gives out engines among `upstreams`, those of `zone` first.

        Args:
          upstreams: Engines known.
          stats_table: What is known of each.
          zone: Availability zone of this gateway.
          quota: Which of them may be sent to now.
        """
        self._upstreams = upstreams
        self._stats_table = stats_table
        self._zone = zone
        self._quota = quota
        self._waiting: dict[str, list[waiting_lib.Waiting]] = {}
        self._numbers = itertools.count()
        self._mean_output: dict[str, float] = {}
        self._most_s: dict[tuple[str, float], float] = {}
        self._demand: dict[str, forecast.Demand] = {}

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
        reservation: upstream_stats.Reservation,
        avoid: frozenset[str],
    ) -> upstream_lib.Upstream | None:
        """Returns the engine to send to, once it has room.

        Returns:
          None if the service has no engine, or none has had room for as long
          as the caller may be kept waiting.
        """
        now = asyncio.get_running_loop().time()
        late_s = LATE_SHARE * req.route.objective_s
        waiting = waiting_lib.Waiting(
            req.priority,
            self._size(req.route.name, reservation),
            next(self._numbers),
            self._first_asked_s(req) + late_s,
            min(reservation.memory_tokens, engine.memory_tokens),
            now,
        )
        demand = self._demand.setdefault(req.service.name, forecast.Demand())
        demand.note(now, waiting.priority, waiting.size, waiting.tokens)
        queue = self._waiting.setdefault(req.service.name, [])
        search = search_lib.Search(
            self._upstreams,
            self._stats_table,
            self._zone,
            self._quota,
            req,
            engine,
            reservation,
            avoid,
            waiting,
            demand,
        )
        if not search.has_engine:
            return None
        if not engine.memory_tokens:
            # Streams of a plain service, or an engine that tells nothing.
            return search.cheapest()
        if not queue:
            chosen = search.take(now)
            if chosen is not None:
                return chosen
        if self._is_hopeless(search, queue):
            self._note(search, now, queue, None)
            return None
        queue.append(waiting)
        try:
            chosen = await self._wait(search, queue)
        finally:
            queue.remove(waiting)
        self._note(search, now, queue, chosen)
        return chosen

    def _is_hopeless(
        self,
        search: search_lib.Search,
        queue: list[waiting_lib.Waiting],
    ) -> bool:
        """Whether it would wait too long; its caller learns for how long."""
        waiting, req = search.waiting, search.req
        now = asyncio.get_running_loop().time()
        rank = waiting.rank(now)
        others = [one for one in queue if one is not waiting]
        ahead = sum(one.tokens for one in others if one.rank(now) <= rank)
        until_s = max(waiting.late_at_s, waiting.came_s + LATE_WAIT_S)
        bound_s = min(until_s - now, req.left_s * LEFT_SHARE)
        demand = self._demand[req.service.name]
        ahead_per_s = self._upstreams.sharers * demand.ahead_per_s(
            now, waiting.priority, waiting.size
        )
        waiting.expected_s = search.expected_wait_s(rank, ahead, ahead_per_s)
        if waiting.expected_s <= bound_s:
            return False
        ahead = sum(one.tokens for one in others)
        come_back_s = search.expected_wait_s(waiting_lib.LAST_RANK, ahead)
        come_back_s = min(come_back_s, req.left_s * COME_BACK_SHARE)
        req.come_back_s = max(exchange.RETRY_AFTER_S, come_back_s)
        return True

    def _note(
        self,
        search: search_lib.Search,
        since_s: float,
        queue: list[waiting_lib.Waiting],
        chosen: upstream_lib.Upstream | None,
    ) -> None:
        waited_s = asyncio.get_running_loop().time() - since_s
        search.req.held_s += waited_s
        event.note(
            event.RequestHeld(
                request=search.req.id_text,
                waited_ms=round(waited_s * 1000, 1),
                expected_ms=round(search.waiting.expected_s * 1000, 1),
                waiting=len(queue),
                admitted=chosen is not None,
                come_back_ms=round(search.req.come_back_s * 1000, 1),
            )
        )

    def _size(self, route: str, reservation: upstream_stats.Reservation) -> int:
        output = reservation.memory_tokens - reservation.prompt_tokens
        mean = self._mean_output.get(route, output)
        self._mean_output[route] = mean + NEWEST_SIZE * (output - mean)
        return bisect.bisect(waiting_lib.SIZES, output / max(1.0, mean))

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

    def _next_look_s(self, search: search_lib.Search) -> float:
        """Returns when a request that was promised room looks again."""
        now = asyncio.get_running_loop().time()
        return now + max(LOOK_S, search.waiting.expected_s)

    async def _wait(
        self,
        search: search_lib.Search,
        queue: list[waiting_lib.Waiting],
    ) -> upstream_lib.Upstream | None:
        loop = asyncio.get_running_loop()
        end_s = min(loop.time() + MOST_WAIT_S, search.req.deadline_s)
        look_s = self._next_look_s(search)
        while loop.time() < end_s:
            await asyncio.sleep(POLL_S)
            now = loop.time()
            if not search.has_engine:
                return None
            if now >= look_s and not self._upstreams.may_grow:
                if self._is_hopeless(search, queue):
                    return None
                look_s = self._next_look_s(search)
            ahead = min(queue, key=lambda one: (one.rank(now), one.number))
            chosen = search.take(now) if ahead is search.waiting else None
            if chosen is not None:
                return chosen
        return None
