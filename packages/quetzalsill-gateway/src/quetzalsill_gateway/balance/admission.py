"""Admission queue: holds generations until an engine has room for them.

An engine accepts whatever it is sent. Once its memory is full it preempts the
newest of the least urgent runs and later prefills it again, which costs its
prompt a second time and its caller a long pause. It also prefills prompts
sequentially, so the last of many starts late. A generation is therefore queued
here until some engine is expected to have enough memory until its end, and to
prefill its prompt in time.

Requests that can no longer start in time go behind those that can. Served
first, each would make the next one late too, for as long as the burst lasts.
Those that have waited for long go first at one send in four, so that no burst
starves them.
"""

from __future__ import annotations

import asyncio
import bisect
import collections
import dataclasses
import itertools
import random
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from quetzalsill.telemetry import metric
from quetzalsill_gateway import event, exchange
from quetzalsill_gateway.balance import (
    expected_wait,
    forecast,
    queue_entry,
)
from quetzalsill_gateway.balance import search as search_lib
from quetzalsill_gateway.balance import shares as shares_lib
from quetzalsill_gateway.fleet import account_usage, software_versions

if TYPE_CHECKING:
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.balance import upstream_stats
    from quetzalsill_gateway.fleet import quota as quota_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['Admission']

# A request that has not been sent after this share of its objective is late.
LATE_SHARE = 0.75
# Callers give up on a stream after this multiple of its objective without a
# first event, but not before this time.
PATIENCE_OBJECTIVES = 4.0
MIN_PATIENCE_S = 2.0
POLL_S = 0.02
# A request that is queued for this multiple of its objective goes before all
# others of its priority when it is its turn. Callers stay for about twice as
# long.
STARVING_OBJECTIVES = 2.0
# Weight of the newest generation in the moving average of a route's output.
OUTPUT_WEIGHT = 0.05
# A late request may be queued for this long after its arrival; beyond that its
# caller is better off with a refusal and a time to retry after.
MAX_LATE_WAIT_S = 2.0
# Minimum interval at which the expected wait is computed again.
MIN_RECHECK_S = 0.25
# A queued request is rejected before it must be sent only if its expected wait
# is this multiple of the time left: half of the mean passes for most waits, and
# an engine that joins ends it sooner.
RECHECK_FACTOR = 2.0
# Largest share of the caller's remaining time to ask it to retry after.
RETRY_AFTER_SHARE = 0.33
# Rejected callers return between the expected wait and this multiple of it: the
# room that they wait for becomes free gradually.
RETRY_SPREAD_FACTOR = 2.0
# Smallest spread, as a share of the latest time. It matters where the time left
# is too short to wait until there is room.
MIN_RETRY_SPREAD_SHARE = 0.25
# Largest share of the caller's remaining time to queue for, so that a refused
# caller can still retry.
MAX_REMAINING_SHARE = 0.5

passed_over_total = metric.counter(
    'quetzalsill_gateway_passed_over_total',
    "Generations held back for their client account's share, by whether the"
    ' one that went first was in the same queue or at a peer.',
)


class Admission:
    """Queues of the generations of one gateway, one per service."""

    def __init__(
        self,
        upstreams: upstream_lib.Upstreams,
        stats_table: upstream_stats.StatsTable,
        zone: str,
        quota: quota_lib.Quota,
        rng: random.Random | None = None,
        shares: shares_lib.Shares | None = None,
    ) -> None:
        """Creates empty queues for engines among `upstreams`.

        Args:
          upstreams: Known upstreams.
          stats_table: Statistics of each.
          zone: Availability zone of this gateway, whose engines are preferred.
          quota: Which engines this gateway may send to now.
          rng: Spreads the times at which rejected callers return.
          shares: Shares of client accounts; None if they are disabled.
        """
        self._rng = random.Random() if rng is None else rng
        self._shares = shares or shares_lib.Shares()
        self._upstreams = upstreams
        self._stats_table = stats_table
        self._zone = zone
        self._quota = quota
        self._queues: dict[str, list[queue_entry.QueueEntry]] = {}
        self._sequence = itertools.count()
        self._mean_output: dict[str, float] = {}
        self._longest_left_s: dict[tuple[str, float], float] = {}
        self._demand: dict[str, forecast.Demand] = {}
        self._turns: dict[tuple[str, int], queue_entry.StarvingTurns] = (
            collections.defaultdict(queue_entry.StarvingTurns)
        )
        self._is_refused: Callable[[exchange_lib.Exchange], bool] = lambda _: (
            False
        )

    def set_refusal(
        self, is_refused: Callable[[exchange_lib.Exchange], bool]
    ) -> None:
        """Sets a function that says whether a queued request is refused."""
        self._is_refused = is_refused

    def waiting_tokens(self) -> dict[str, dict[int, int]]:
        """Returns the tokens queued here, by service and rank."""
        now = asyncio.get_running_loop().time()
        found: dict[str, dict[int, int]] = {}
        for service, queue in self._queues.items():
            ranks: dict[int, int] = collections.Counter()
            for entry in queue:
                ranks[entry.rank(now)] += entry.tokens
            if ranks:
                found[service] = dict(ranks)
        return found

    async def acquire_engine(
        self,
        req: exchange_lib.Exchange,
        engine: routing_table.Engine,
        reservation: upstream_stats.Reservation,
        avoid: frozenset[str],
        origin: software_versions.Origin | None = None,
    ) -> upstream_lib.Upstream | None:
        """Waits for an engine with room.

        Args:
          req: The request.
          engine: Properties of the service's engines.
          reservation: Memory that the generation is expected to need.
          avoid: Ids of engines not to use.
          origin: Origin of its stream; None if its caller has no event yet.

        Returns:
          The engine; None if the service has none that may serve it, or if none
          has room within the time for which the request may be queued.
        """
        if origin is None:
            await self._until_stored(req)
        now = asyncio.get_running_loop().time()
        own_prefill_s = self._stats_table.prefill_s(reservation.prompt_tokens)
        late_s = LATE_SHARE * req.route.objective_s
        entry = queue_entry.QueueEntry(
            req.priority,
            self._size_class(req.route.name, reservation),
            next(self._sequence),
            self._first_request_s(req) + late_s,
            min(reservation.memory_tokens, engine.memory_tokens),
            now,
            prompt_tokens=reservation.prompt_tokens,
            send_by_s=self._send_by_s(req, own_prefill_s, now),
            first_at_s=now + STARVING_OBJECTIVES * req.route.objective_s,
            turns=self._turns[req.service.name, req.priority],
        )
        if origin and self._upstreams.versions.has_several(req.service.name):
            # It has no other engines to go to, so it goes first at these.
            entry.pool = origin.pool
            entry.first_at_s = now
            entry.turns = queue_entry.StarvingTurns()
        if self._shares.is_enabled:
            name = account_usage.bounded_name(req.account or b'')
            entry.account = name
            entry.start_tag = lambda: self._shares.start_tag(name)
            entry.waiting_at_peers = lambda: self._shares.waiting_at_peers(
                name, asyncio.get_running_loop().time()
            )
        demand = self._demand.setdefault(req.service.name, forecast.Demand())
        demand.record_arrival(
            now,
            entry.priority,
            entry.size,
            entry.tokens,
            min(reservation.prompt_tokens, entry.tokens),
        )
        queue = self._queues.setdefault(req.service.name, [])
        search = search_lib.EngineSearch(
            self._upstreams,
            self._stats_table,
            self._zone,
            self._quota,
            req,
            engine,
            reservation,
            avoid,
            entry,
            demand,
            self._rng,
            origin,
        )
        if not search.has_engine:
            return None
        if not engine.memory_tokens:
            # A service without engines, or engines of unknown memory size.
            return search.lowest_cost()
        if now >= req.deadline_s - own_prefill_s:
            self._log_wait(search, now, queue, None)
            return None
        if not queue:
            chosen = search.try_choose(now)
            if chosen is not None:
                entry.turns.record_sent(is_first=False)
                self._record_share(entry, was_queued=False)
                return chosen
        if self._exceeds_wait_bound(search, queue):
            self._log_wait(search, now, queue, None)
            return None
        queue.append(entry)
        self._shares.enter(entry.account, entry.tokens, now)
        try:
            chosen = await self._wait(search, queue)
        finally:
            queue.remove(entry)
            self._shares.leave(entry.account, entry.tokens)
        if chosen is not None:
            self._record_share(entry, was_queued=True)
        self._log_wait(search, now, queue, chosen)
        return chosen

    async def _until_stored(self, req: exchange_lib.Exchange) -> None:
        """Waits, for `STORING_S` at most, for a version to begin at."""
        versions, service = self._upstreams.versions, req.service.name
        while versions.has_stages(service) and not self._is_refused(req):
            available = self._upstreams.available(service, req.regions)
            best = min(map(versions.stage, available), default=None)
            if best is not software_versions.Stage.STORING:
                return
            await asyncio.sleep(POLL_S)

    def _exceeds_wait_bound(
        self,
        search: search_lib.EngineSearch,
        queue: list[queue_entry.QueueEntry],
    ) -> bool:
        """Whether it would wait too long; if so, sets `retry_after_s`."""
        entry, req = search.entry, search.req
        now = asyncio.get_running_loop().time()
        rank = entry.rank(now)
        others = _competing(entry, queue)
        key = entry.sort_key(now)
        ahead = [one for one in others if one.sort_key(now) < key]
        until_s = max(entry.late_at_s, entry.arrived_s + MAX_LATE_WAIT_S)
        bound_s = min(until_s - now, req.remaining_s * MAX_REMAINING_SHARE)
        demand = self._demand[req.service.name]
        gateways = self._upstreams.gateway_count
        ahead_per_s, late_per_s = (
            gateways * demand.tokens_ahead_per_s(now, entry.priority, size)
            for size in (entry.size, queue_entry.SIZE_RANKS)
        )
        everything_ahead = dataclasses.replace(
            _sum_ahead(ahead),
            tokens_per_s=ahead_per_s,
            late_tokens_per_s=late_per_s,
        )
        found = expected_wait.longest(
            search.expected_wait(
                now, self._rank_at_peers(entry, rank, now), everything_ahead
            ),
            search.rate_wait(len(ahead)),
        )
        send_within_s = entry.send_by_s - now
        if entry.is_estimated and self._can_improve(search):
            bound_s = send_within_s * RECHECK_FACTOR
        elif found.bound_by is expected_wait.BoundBy.PREFILL:
            # Prompts are prefilled at a steady rate, so this wait ends, and
            # its caller is better served late than refused.
            bound_s = max(bound_s, send_within_s)
        else:
            bound_s = min(bound_s, send_within_s)
        is_exceeded = found.seconds > bound_s
        if is_exceeded or not entry.is_estimated:
            entry.expected = found
            entry.is_estimated = True
        entry.latest_s = found.seconds
        if is_exceeded:
            self._set_retry_after(search, others, now)
        return is_exceeded

    def _set_retry_after(
        self,
        search: search_lib.EngineSearch,
        others: list[queue_entry.QueueEntry],
        now: float,
    ) -> None:
        req = search.req
        with_room = expected_wait.longest(
            search.expected_wait(
                now, queue_entry.LAST_RANK, _sum_ahead(others)
            ),
            search.rate_wait(len(others)),
        )
        latest_s = min(
            with_room.seconds * RETRY_SPREAD_FACTOR,
            req.remaining_s * RETRY_AFTER_SHARE,
        )
        earliest_s = min(
            with_room.seconds, latest_s * (1.0 - MIN_RETRY_SPREAD_SHARE)
        )
        retry_after_s = self._rng.uniform(earliest_s, latest_s)
        req.retry_after_s = max(exchange.RETRY_AFTER_S, retry_after_s)

    def _can_improve(self, search: search_lib.EngineSearch) -> bool:
        """Whether engines may join, and some do not limit what they get."""
        return self._upstreams.can_grow and not search.is_limited

    def _send_by_s(
        self, req: exchange_lib.Exchange, own_prefill_s: float, now: float
    ) -> float:
        """Returns the loop time by which a queued request must be sent.

        Sent later, it would have its first event after its deadline, or after
        its caller has given up.
        """
        patience_s = PATIENCE_OBJECTIVES * req.route.objective_s
        # The prefill of a very long prompt takes longer than that, but its
        # caller stays nevertheless.
        prefill_s = own_prefill_s + expected_wait.LATE_PREFILL_AHEAD_S
        patience_s = max(patience_s - prefill_s, MIN_PATIENCE_S)
        return min(
            max(req.request.received_s + patience_s, now + POLL_S),
            req.deadline_s - own_prefill_s,
        )

    def _rank_at_peers(
        self, entry: queue_entry.QueueEntry, rank: int, now: float
    ) -> int:
        """Returns the highest rank that goes first at other gateways.

        Requests of equal rank there yield to an account that is behind.
        """
        shares = self._shares
        if shares.has_others(entry.account, now):
            return rank - (shares.lead_s(entry.account, now) <= 0.0)
        return rank

    def _note_passed_over(
        self,
        search: search_lib.EngineSearch,
        ahead: queue_entry.QueueEntry | None,
        now: float,
    ) -> None:
        """Logs that a request waits for one of another account.

        Args:
          search: Its search.
          ahead: The request that goes first; None if it is at another gateway.
          now: Loop time.
        """
        entry = search.entry
        if not entry.passed_over:
            entry.passed_over = True
            passed_over_total.inc({'for': 'queue' if ahead else 'peer'})
        if self._shares.should_log(entry.account, now):
            event.note(
                event.RequestPassedOver(
                    request=search.req.id_text,
                    account=(search.req.account or b'').decode(
                        errors='replace'
                    ),
                    at_peer=ahead is None,
                    lead_s=round(self._shares.lead_s(entry.account, now), 2),
                )
            )

    def _record_share(
        self, entry: queue_entry.QueueEntry, *, was_queued: bool
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._shares.record(
            entry.account, entry.tokens, now, was_queued=was_queued
        )

    def _log_wait(
        self,
        search: search_lib.EngineSearch,
        since_s: float,
        queue: list[queue_entry.QueueEntry],
        chosen: upstream_lib.Upstream | None,
    ) -> None:
        waited_s = asyncio.get_running_loop().time() - since_s
        search.req.held_s += waited_s
        bound_by = search.entry.expected.bound_by.value
        search.req.held_by = bound_by
        event.note(
            event.RequestHeld(
                request=search.req.id_text,
                waited_ms=round(waited_s * 1000, 1),
                expected_ms=round(search.entry.expected.seconds * 1000, 1),
                waiting=len(queue),
                admitted=chosen is not None,
                come_back_ms=round(search.req.retry_after_s * 1000, 1),
                bound_by=bound_by,
            )
        )

    def _size_class(
        self, route: str, reservation: upstream_stats.Reservation
    ) -> int:
        output = reservation.memory_tokens - reservation.prompt_tokens
        mean = self._mean_output.get(route, output)
        self._mean_output[route] = mean + OUTPUT_WEIGHT * (output - mean)
        return bisect.bisect(queue_entry.SIZE_BOUNDS, output / max(1.0, mean))

    def _first_request_s(self, req: exchange_lib.Exchange) -> float:
        """Returns the estimated loop time of the caller's first attempt.

        The objective counts from there. A caller that was refused and retries
        has less time left than other callers of its route, by which its earlier
        attempt is recognised.
        """
        route = req.route
        left_s = req.deadline_s - req.request.received_s
        # A changed time limit starts a new maximum.
        key = (route.name, route.timeout_s)
        longest_left_s = max(left_s, self._longest_left_s.get(key, 0.0))
        self._longest_left_s[key] = longest_left_s
        return req.request.received_s - (longest_left_s - left_s)

    def _next_recheck_s(self, search: search_lib.EngineSearch) -> float:
        """Returns the loop time at which to check the expected wait again."""
        now = asyncio.get_running_loop().time()
        return now + max(MIN_RECHECK_S, search.entry.latest_s / 2)

    async def _wait(
        self,
        search: search_lib.EngineSearch,
        queue: list[queue_entry.QueueEntry],
    ) -> upstream_lib.Upstream | None:
        loop = asyncio.get_running_loop()
        entry = search.entry
        recheck_s = self._next_recheck_s(search)
        while True:
            await asyncio.sleep(POLL_S)
            now = loop.time()
            if not search.has_engine or self._is_refused(search.req):
                return None
            if now >= entry.send_by_s:
                # Perhaps the process was paused.
                others = _competing(entry, queue)
                self._set_retry_after(search, others, now)
                return None
            key = entry.sort_key(now)
            ahead = [one for one in queue if one.sort_key(now) < key]
            pools = frozenset(one.pool for one in ahead)
            if not pools & {entry.pool, ''}:
                chosen = search.try_choose(now, pools)
                if chosen is not None:
                    entry.turns.record_sent(is_first=entry.is_first(now))
                    return chosen
                if search.has_yielded:
                    self._note_passed_over(search, None, now)
            elif self._shares.is_enabled:
                first = min(ahead, key=lambda one: one.sort_key(now))
                if entry.yields_to(first, now):
                    self._note_passed_over(search, first, now)
            if now >= recheck_s:
                if self._exceeds_wait_bound(search, queue):
                    return None
                recheck_s = self._next_recheck_s(search)


def _competing(
    entry: queue_entry.QueueEntry, queue: Iterable[queue_entry.QueueEntry]
) -> list[queue_entry.QueueEntry]:
    """Returns the other entries that may take engines of an entry."""
    return [
        one
        for one in queue
        if one is not entry
        and (not entry.pool or not one.pool or one.pool == entry.pool)
    ]


def _sum_ahead(
    entries: Iterable[queue_entry.QueueEntry],
) -> expected_wait.Ahead:
    found = list(entries)
    return expected_wait.Ahead(
        sum(one.tokens for one in found),
        sum(one.prompt_tokens for one in found),
    )
