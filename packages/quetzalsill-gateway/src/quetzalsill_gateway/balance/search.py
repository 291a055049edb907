"""Search for an engine with room for one generation."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

from quetzalsill_gateway.balance import choose, forecast
from quetzalsill_gateway.fleet import publish_timing

if TYPE_CHECKING:
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.balance import queue_entry, upstream_stats
    from quetzalsill_gateway.fleet import quota as quota_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['EngineSearch']

# Share of an engine's memory that runs may be expected to need at their ends.
# They don't all reach their peak at once: at their common peak, five long runs
# at random stages hold about nine tenths of that sum.
OVERCOMMIT_SHARE = 1.1
# Urgent requests are short, and end before concurrent runs have grown.
URGENT_OVERCOMMIT_SHARE = 1.2
URGENT_PRIORITY = 0
# Prefill time that may be queued ahead of a request that is late anyway.
LATE_PREFILL_AHEAD_S = 0.3
# Gateways learn of each other's choices about one polling interval later. If
# half of the free memory is assigned per interval, what all take in the
# meantime still fits.
RACE_SHARE = 0.5


class EngineSearch:
    """The search of one request for an engine.

    Attributes:
      req: The request.
      entry: Its entry in the queue.
      has_yielded: Whether the latest choice left memory to other client
        accounts at peers.
    """

    def __init__(
        self,
        upstreams: upstream_lib.Upstreams,
        stats_table: upstream_stats.StatsTable,
        zone: str,
        quota: quota_lib.Quota,
        req: exchange_lib.Exchange,
        engine: routing_table.Engine,
        reservation: upstream_stats.Reservation,
        avoid: frozenset[str],
        entry: queue_entry.QueueEntry,
        demand: forecast.Demand,
    ) -> None:
        self._upstreams = upstreams
        self._stats_table = stats_table
        self._zone = zone
        self._quota = quota
        self.req = req
        self._engine = engine
        self._reservation = reservation
        self._avoid = avoid
        self.entry = entry
        self._demand = demand
        self.has_yielded = False

    @property
    def has_engine(self) -> bool:
        """Whether any engine is available to the request."""
        return any(self._available())

    def try_choose(self, now: float) -> upstream_lib.Upstream | None:
        """Returns an engine with room, unless other requests go first.

        All gateways see free memory at the same time. While requests are also
        queued at peers, each gateway takes it with a probability such that
        together they take no more than there is.
        """
        with_room = self._engines_with_room(now)
        if self.req.is_suspect:
            with_room = self._with_fewest_runs(with_room)
        rank = self.entry.rank(now)
        service = self.req.service.name
        same_or_ahead = self._stats_table.waiting_at_peers(service, rank)
        ahead = self._stats_table.waiting_at_peers(service, rank - 1)
        needed_first = ahead + self._displaced_tokens()
        self.has_yielded = False
        if not same_or_ahead and not needed_first:
            return self._lowest_cost(with_room)
        free_tokens = [self._free_tokens(one) for one in with_room]
        left = sum(free_tokens) - needed_first
        first, rival_share = self.entry.waiting_at_peers()
        first = min(first, same_or_ahead - ahead)
        if left - first < self.entry.tokens:
            self.has_yielded = left >= self.entry.tokens
            return None
        left -= first
        rivals = rival_share * (same_or_ahead - ahead - first)
        share = RACE_SHARE * left / (rivals + self.entry.tokens)
        if random.random() >= share:
            return None
        return random.choices(with_room, free_tokens)[0]

    def lowest_cost(self) -> upstream_lib.Upstream | None:
        """Returns the engine with the lowest expected cost, full or not."""
        return self._lowest_cost(self._sendable())

    def expected_wait_s(
        self, rank: int, ahead_tokens: int, ahead_per_s: float = 0.0
    ) -> float:
        """Returns the expected time until a request of a rank gets memory.

        Args:
          rank: The request waits behind all entries of this rank or lower.
          ahead_tokens: Tokens of such entries at this gateway.
          ahead_per_s: Tokens per second that arrive later and go ahead of it,
            at all gateways. They count only while no engine can join: a burst
            passes if lost engines are replaced, and a slightly longer wait
            than expected is better than a refusal.

        Returns:
          The time in seconds; infinite if the request will not get memory.
        """
        available = self._available()
        pausing = [one for one in available if self._quota.pause_s([one])]
        if not pausing:
            return self._memory_wait_s(
                available, rank, ahead_tokens, ahead_per_s
            )
        others = [one for one in available if one not in pausing]
        wait_s = self._memory_wait_s(
            others or available, rank, ahead_tokens, ahead_per_s
        )
        with_pausing_s = self._memory_wait_s(
            available, rank, ahead_tokens, ahead_per_s
        )
        return min(wait_s, max(with_pausing_s, self._quota.pause_s(pausing)))

    def _memory_wait_s(
        self,
        engines: list[upstream_lib.Upstream],
        rank: int,
        ahead_tokens: int,
        ahead_per_s: float,
    ) -> float:
        """Returns the expected time until some engines have enough memory."""
        service = self.req.service.name
        wanted = self.entry.tokens + ahead_tokens + self._displaced_tokens()
        wanted += self._stats_table.waiting_at_peers(service, rank)
        missing = wanted - sum(self._usable_tokens(one) for one in engines)
        held = sum(self._stats_table.of(one).reserved_tokens for one in engines)
        if missing <= 0 or not held:
            return 0.0
        if self._upstreams.can_grow:
            return missing * self._stats_table.mean_held_s / held
        leaves_per_s = self._upstreams.departures_per_s(service)
        per_s = forecast.freed_tokens_per_s(
            held,
            self._stats_table.mean_held_s,
            ahead_per_s,
            leaves_per_s * self._engine.memory_tokens,
        )
        return missing / per_s if per_s else math.inf

    @property
    def is_limited(self) -> bool:
        """Whether all engines limit what they get."""
        return self._quota.has_limits and self._quota.is_limited(
            self._available()
        )

    def rate_wait_s(self, ahead: int) -> float:
        """Returns the time until the engines' own limits allow the request.

        Args:
          ahead: Number of requests of this gateway that go first.
        """
        if not self.is_limited:
            return 0.0
        return self._quota.wait_s(self._available(), ahead)

    def _engines_with_room(self, now: float) -> list[upstream_lib.Upstream]:
        """Returns engines with room, if possible with room beside backups.

        Backups are never preempted, so a run beside one may cause other runs to
        be. But no run waits because of backups: without such an engine, all
        engines with room are returned.
        """
        fitting = [one for one in self._sendable() if self._fits(one, now)]
        beside = [
            one
            for one in fitting
            if self.entry.tokens + self._stats_table.of(one).backup_tokens
            <= self._free_tokens(one)
        ]
        return beside or fitting

    def _with_fewest_runs(
        self, candidates: list[upstream_lib.Upstream]
    ) -> list[upstream_lib.Upstream]:
        """Returns the engines where a crash would end the fewest runs."""
        runs = [self._stats_table.of(one).runs for one in candidates]
        return [
            one
            for one, count in zip(candidates, runs, strict=True)
            if count == min(runs)
        ]

    def _lowest_cost(
        self, candidates: list[upstream_lib.Upstream]
    ) -> upstream_lib.Upstream | None:
        gateways = self._upstreams.gateway_count
        if publish_timing.min_interval_s(gateways):
            now = asyncio.get_running_loop().time()
            count = publish_timing.candidate_count(
                gateways, len(candidates), self._demand.arrivals_per_s(now)
            )
            candidates = random.sample(candidates, min(len(candidates), count))
        return choose.choose_engine(
            candidates,
            self._stats_table,
            self._zone,
            self._engine,
            self.entry.tokens,
        )

    def _displaced_tokens(self) -> int:
        """Returns the memory of runs on leaving engines, which must be moved.

        They take precedence: a run that finds no room is lost.
        """
        return sum(
            self._stats_table.of(one).reserved_tokens
            for one in self._upstreams.all()
            if one.leaving and one.service == self.req.service.name
        )

    def _available(self) -> list[upstream_lib.Upstream]:
        candidates = self._upstreams.available(
            self.req.service.name, self.req.regions
        )
        accepting = choose.accepting_work(candidates, self._avoid)
        return choose.without_faulty(
            accepting, self._stats_table, self._upstreams.gateway_count
        )

    def _sendable(self) -> list[upstream_lib.Upstream]:
        """Returns the available engines for which the quota allows a send."""
        return [one for one in self._available() if self._quota.allows(one)]

    def _free_tokens(self, candidate: upstream_lib.Upstream) -> float:
        urgent = self.entry.priority <= URGENT_PRIORITY
        share = URGENT_OVERCOMMIT_SHARE if urgent else OVERCOMMIT_SHARE
        used = self._stats_table.of(candidate).reserved_tokens
        return share * self._engine.memory_tokens - used

    def _usable_tokens(self, candidate: upstream_lib.Upstream) -> float:
        """Returns the free memory, in multiples of what the request needs."""
        piece = max(1, self.entry.tokens)
        return max(0.0, self._free_tokens(candidate) // piece * piece)

    def _fits(self, candidate: upstream_lib.Upstream, now: float) -> bool:
        if self.entry.tokens > self._free_tokens(candidate):
            return False
        own_s = self._stats_table.prefill_s(self._reservation.prompt_tokens)
        ahead = self._stats_table.of(candidate).prefill_tokens
        left_s = self.entry.late_at_s - now
        bound_s = max(left_s - own_s, LATE_PREFILL_AHEAD_S)
        return self._stats_table.prefill_s(ahead) <= bound_s
