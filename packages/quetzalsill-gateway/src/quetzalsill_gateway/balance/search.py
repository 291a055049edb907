"""Finds an engine with room for one generation."""

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
# Not all come to their ends at once: five runs at random stages of plans hold
# about nine tenths of that at their common peak.
OVERCOMMIT_SHARE = 1.1
# Urgent requests are short, and gone before the runs beside them have grown.
URGENT_OVERCOMMIT_SHARE = 1.2
URGENT_PRIORITY = 0
# Prompts of this reading time may be ahead of one that is late anyway.
LATE_PREFILL_AHEAD_S = 0.3
# Gateways hear of each other's choices about one turn of the poll later. With
# half of the room given out in a turn, what all take meanwhile fits.
RACE_SHARE = 0.5


class EngineSearch:
    """One request's search for an engine.

    Attributes:
      req: The request.
      entry: Its place among those that wait.
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

    @property
    def has_engine(self) -> bool:
        """Whether there is any engine left to send to."""
        return any(self._available())

    def try_choose(self, now: float) -> upstream_lib.Upstream | None:
        """Returns an engine with room, unless another's turn comes first.

        Gateways see room at the same time. While others wait for it too, each
        takes it with the chance that all together take no more than there is.
        """
        with_room = self._engines_with_room(now)
        rank = self.entry.rank(now)
        service = self.req.service.name
        same_or_ahead = self._stats_table.waiting_at_peers(service, rank)
        ahead = self._stats_table.waiting_at_peers(service, rank - 1)
        needed_first = ahead + self._displaced_tokens()
        if not same_or_ahead and not needed_first:
            return self._lowest_cost(with_room)
        free_tokens = [self._free_tokens(one) for one in with_room]
        left = sum(free_tokens) - needed_first
        if left < self.entry.tokens:
            return None
        share = RACE_SHARE * left / (same_or_ahead - ahead + self.entry.tokens)
        if random.random() >= share:
            return None
        return random.choices(with_room, free_tokens)[0]

    def lowest_cost(self) -> upstream_lib.Upstream | None:
        """Returns the engine with the least expected wait, full or not."""
        return self._lowest_cost(self._sendable())

    def expected_wait_s(
        self, rank: int, ahead_tokens: int, ahead_per_s: float = 0.0
    ) -> float:
        """Returns how long a request of a rank will wait for memory.

        Args:
          rank: Waits behind all that is ranked so or ahead of it.
          ahead_tokens: What of that waits at this gateway.
          ahead_per_s: Tokens a second that come later and go ahead of it, at
            all gateways. They count while no engine can enter: a crowd before
            a fleet that is made good passes, and a wait that lasts a little
            longer than expected is better than a refusal.

        Returns:
          The time in seconds, infinite if it will not get any.
        """
        open_now = self._available()
        service = self.req.service.name
        wanted = self.entry.tokens + ahead_tokens + self._displaced_tokens()
        wanted += self._stats_table.waiting_at_peers(service, rank)
        short = wanted - sum(self._usable_tokens(one) for one in open_now)
        held = sum(
            self._stats_table.of(one).reserved_tokens for one in open_now
        )
        if short <= 0 or not held:
            return 0.0
        if self._upstreams.can_grow:
            return short * self._stats_table.mean_held_s / held
        leaves_per_s = self._upstreams.departures_per_s(service)
        per_s = forecast.freed_tokens_per_s(
            held,
            self._stats_table.mean_held_s,
            ahead_per_s,
            leaves_per_s * self._engine.memory_tokens,
        )
        return short / per_s if per_s else math.inf

    def _engines_with_room(self, now: float) -> list[upstream_lib.Upstream]:
        """Returns engines with room: beside backups, or else without them.

        A backup makes way for nobody, so that a run beside one may push others
        off. But no run waits for the sake of copies.
        """
        fitting = [one for one in self._sendable() if self._fits(one, now)]
        beside = [
            one
            for one in fitting
            if self.entry.tokens + self._stats_table.of(one).backup_tokens
            <= self._free_tokens(one)
        ]
        return beside or fitting

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
        """Tokens of runs whose engines leave, and that will need room soon.

        They come first: a run that finds no room is lost.
        """
        return sum(
            self._stats_table.of(one).reserved_tokens
            for one in self._upstreams.all()
            if one.leaving and one.service == self.req.service.name
        )

    def _available(self) -> list[upstream_lib.Upstream]:
        found = self._upstreams.available(
            self.req.service.name, self.req.regions
        )
        accepting = choose.accepting_work(found, self._avoid)
        return choose.without_faulty(
            accepting, self._stats_table, self._upstreams.gateway_count
        )

    def _sendable(self) -> list[upstream_lib.Upstream]:
        """Returns those open ones that this gateway may send to just now."""
        return [one for one in self._available() if self._quota.allows(one)]

    def _free_tokens(self, candidate: upstream_lib.Upstream) -> float:
        urgent = self.entry.priority <= URGENT_PRIORITY
        share = URGENT_OVERCOMMIT_SHARE if urgent else OVERCOMMIT_SHARE
        used = self._stats_table.of(candidate).reserved_tokens
        return share * self._engine.memory_tokens - used

    def _usable_tokens(self, candidate: upstream_lib.Upstream) -> float:
        """Room in pieces that are large enough for a request like this."""
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
