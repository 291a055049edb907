"""Finds an engine with room for one generation."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

from quetzalsill_gateway.balance import choose, forecast
from quetzalsill_gateway.fleet import pace

if TYPE_CHECKING:
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.balance import upstream_stats
    from quetzalsill_gateway.balance import waiting as waiting_lib
    from quetzalsill_gateway.fleet import quota as quota_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['Search']

# Share of an engine's memory that runs may be expected to need at their ends.
# Not all come to their ends at once: five runs at random stages of plans hold
# about nine tenths of that at their common peak.
FULL_SHARE = 1.1
# Urgent requests are short, and gone before the runs beside them have grown.
URGENT_SHARE = 1.2
URGENT = 0
# Prompts of this reading time may be ahead of one that is late anyway.
LATE_AHEAD_S = 0.3
# Gateways hear of each other's choices about one turn of the poll later. With
# half of the room given out in a turn, what all take meanwhile fits.
RACE_SHARE = 0.5


class Search:
    """One request's search for an engine.

    Attributes:
      req: The request.
      waiting: Its place among those that wait.
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
        waiting: waiting_lib.Waiting,
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
        self.waiting = waiting
        self._demand = demand

    @property
    def has_engine(self) -> bool:
        """Whether there is any engine left to send to."""
        return any(self._open())

    def take(self, now: float) -> upstream_lib.Upstream | None:
        """Returns an engine with room, unless another's turn comes first.

        Gateways see room at the same time. While others wait for it too, each
        takes it with the chance that all together take no more than there is.
        """
        able = self._able(now)
        rank = self.waiting.rank(now)
        service = self.req.service.name
        upto = self._stats_table.waiting_at_peers(service, rank)
        ahead = self._stats_table.waiting_at_peers(service, rank - 1)
        before = ahead + self._homeless()
        if not upto and not before:
            return self._cheapest(able)
        rooms = [self._room(one) for one in able]
        left = sum(rooms) - before
        if left < self.waiting.tokens:
            return None
        share = RACE_SHARE * left / (upto - ahead + self.waiting.tokens)
        if random.random() >= share:
            return None
        return random.choices(able, rooms)[0]

    def cheapest(self) -> upstream_lib.Upstream | None:
        """Returns the engine with the least expected wait, full or not."""
        return self._cheapest(self._allowed())

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
        open_now = self._open()
        service = self.req.service.name
        wanted = self.waiting.tokens + ahead_tokens + self._homeless()
        wanted += self._stats_table.waiting_at_peers(service, rank)
        short = wanted - sum(self._usable(one) for one in open_now)
        held = sum(
            self._stats_table.of(one).reserved_tokens for one in open_now
        )
        if short <= 0 or not held:
            return 0.0
        if self._upstreams.may_grow:
            return short * self._stats_table.mean_held_s / held
        leaves_per_s = self._upstreams.leaves_per_s(service)
        per_s = forecast.free_per_s(
            held,
            self._stats_table.mean_held_s,
            ahead_per_s,
            leaves_per_s * self._engine.memory_tokens,
        )
        return short / per_s if per_s else math.inf

    def _able(self, now: float) -> list[upstream_lib.Upstream]:
        """Returns engines with room: beside backups, or else without them.

        A backup makes way for nobody, so that a run beside one may push others
        off. But no run waits for the sake of copies.
        """
        fitting = [one for one in self._allowed() if self._fits(one, now)]
        beside = [
            one
            for one in fitting
            if self.waiting.tokens + self._stats_table.of(one).backup_tokens
            <= self._room(one)
        ]
        return beside or fitting

    def _cheapest(
        self, able: list[upstream_lib.Upstream]
    ) -> upstream_lib.Upstream | None:
        gateways = self._upstreams.sharers
        if pace.gap_s(gateways):
            now = asyncio.get_running_loop().time()
            count = pace.candidates(
                gateways, len(able), self._demand.per_s(now)
            )
            able = random.sample(able, min(len(able), count))
        return choose.choose_engine(
            able,
            self._stats_table,
            self._zone,
            self._engine,
            self.waiting.tokens,
        )

    def _homeless(self) -> int:
        """Tokens of runs whose engines leave, and that will need room soon.

        They come first: a run that finds no room is lost.
        """
        return sum(
            self._stats_table.of(one).reserved_tokens
            for one in self._upstreams.all()
            if one.leaving and one.service == self.req.service.name
        )

    def _open(self) -> list[upstream_lib.Upstream]:
        found = self._upstreams.of(self.req.service.name, self.req.regions)
        able = choose.open_to_work(found, self._avoid)
        return choose.sound(able, self._stats_table, self._upstreams.sharers)

    def _allowed(self) -> list[upstream_lib.Upstream]:
        """Returns those open ones that this gateway may send to just now."""
        return [one for one in self._open() if self._quota.allows(one)]

    def _room(self, candidate: upstream_lib.Upstream) -> float:
        urgent = self.waiting.priority <= URGENT
        share = URGENT_SHARE if urgent else FULL_SHARE
        used = self._stats_table.of(candidate).reserved_tokens
        return share * self._engine.memory_tokens - used

    def _usable(self, candidate: upstream_lib.Upstream) -> float:
        """Room in pieces that are large enough for a request like this."""
        piece = max(1, self.waiting.tokens)
        return max(0.0, self._room(candidate) // piece * piece)

    def _fits(self, candidate: upstream_lib.Upstream, now: float) -> bool:
        if self.waiting.tokens > self._room(candidate):
            return False
        own_s = self._stats_table.prefill_s(self._reservation.prompt_tokens)
        ahead = self._stats_table.of(candidate).prefill_tokens
        left_s = self.waiting.late_at_s - now
        bound_s = max(left_s - own_s, LATE_AHEAD_S)
        return self._stats_table.prefill_s(ahead) <= bound_s
