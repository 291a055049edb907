"""Search for an engine with room for one generation."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_gateway.balance import (
    choose,
    expected_wait,
    matching,
    pace,
)
from quetzalsill_gateway.fleet import publish_timing, software_versions

if TYPE_CHECKING:
    import random

    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.balance import (
        forecast,
        queue_entry,
        upstream_stats,
    )
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
# Gateways learn of each other's choices about one polling interval later. If
# half of the free memory is assigned per interval, what all take in the
# meantime still fits.
RACE_SHARE = 0.5
# While requests are queued at several gateways, each chooses the better of a
# few engines drawn by free memory, so that they don't all choose the same one.
DRAWN_ENGINES = 2


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
        rng: random.Random,
        origin: software_versions.Origin | None = None,
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
        self._rng = rng
        self._origin = origin
        self._reserved: frozenset[str] = frozenset()
        self._matcher = matching.Matcher(
            stats_table, req, reservation, entry.late_at_s
        )
        self.has_yielded = False

    @property
    def has_engine(self) -> bool:
        """Whether any engine is available to the request."""
        return any(self._available())

    def try_choose(
        self, now: float, reserved: frozenset[str] = frozenset()
    ) -> upstream_lib.Upstream | None:
        """Returns an engine with room, unless other requests go first.

        All gateways see free memory at the same time. While requests are also
        queued at peers, each gateway takes it with a probability such that
        together they take no more than there is.

        Args:
          now: Loop time.
          reserved: Pools of engines that are left to requests of the same queue
            which go first.
        """
        self._reserved = reserved
        with_room = self._engines_with_room(now)
        if self.req.is_suspect:
            with_room = self._with_fewest_runs(with_room)
        with_room, assessments = self._matcher.match(with_room, now)
        rank = self.entry.rank(now)
        service = self.req.service.name
        same_or_ahead = self._stats_table.waiting_at_peers(service, rank)
        ahead = self._stats_table.waiting_at_peers(service, rank - 1)
        displaced = self._displaced_tokens()
        self.has_yielded = False
        if not same_or_ahead and not displaced:
            return self._lowest_cost(with_room, assessments)
        free_tokens = [self._free_tokens(one) for one in with_room]
        # Runs on leaving engines may move to any engine, also to one without
        # room for this request.
        total = sum(
            max(0.0, self._free_tokens(one)) for one in self._available()
        )
        left = min(sum(free_tokens), total - displaced) - ahead
        if not with_room or left < self.entry.tokens:
            return None
        first, rival_share = 0, 1.0
        # One that has waited for long goes first whatever its account used.
        if self.entry.waiting_at_peers and not self.entry.is_first(now):
            first, rival_share = self.entry.waiting_at_peers()
            first = min(first, same_or_ahead - ahead)
        if left - first < self.entry.tokens:
            self.has_yielded = True
            return None
        left -= first
        rivals = rival_share * (same_or_ahead - ahead - first)
        # Without token counts a request takes no memory from rivals.
        wanted = rivals + self.entry.tokens
        if wanted and self._rng.random() >= RACE_SHARE * left / wanted:
            return None
        if assessments:
            drawn = self._rng.choices(with_room, free_tokens, k=DRAWN_ENGINES)
            return self._lowest_cost(drawn, assessments)
        self.req.late_probability, self.req.pace_miss = 0.0, False
        return self._rng.choices(with_room, free_tokens)[0]

    def lowest_cost(self) -> upstream_lib.Upstream | None:
        """Returns the engine with the lowest expected cost, full or not."""
        sendable = self._sendable()
        now = asyncio.get_running_loop().time()
        return self._lowest_cost(sendable, self._matcher.assess(sendable, now))

    def expected_wait(
        self, now: float, rank: int, ahead: expected_wait.Ahead
    ) -> expected_wait.ExpectedWait:
        """Returns the expected time until there is room for the request.

        Args:
          now: Loop time.
          rank: Entries of this rank or lower at peers go first.
          ahead: What goes first at this gateway.
        """
        table, service = self._stats_table, self.req.service.name
        at_peers = table.waiting_at_peers(service, rank)
        # Of those with the same rank, about half go first.
        going_first = at_peers + table.waiting_at_peers(service, rank - 1)
        share = self._demand.prompt_share(now)
        everything_ahead = expected_wait.Ahead(
            ahead.tokens + at_peers + self._displaced_tokens(),
            ahead.prompt_tokens + share * going_first / 2,
            ahead.tokens_per_s,
            ahead.late_tokens_per_s,
        )
        lost_per_s = self._upstreams.departures_per_s(service)
        return expected_wait.with_pauses(
            [self._load(one) for one in self._available()],
            self._wanted(now),
            everything_ahead,
            expected_wait.Fleet(
                table.mean_held_s,
                table.prefill_tokens_per_s,
                lost_per_s * self._engine.memory_tokens,
                self._upstreams.can_grow,
            ),
        )

    def _load(
        self, candidate: upstream_lib.Upstream
    ) -> expected_wait.EngineLoad:
        table = self._stats_table
        stats = table.of(candidate)
        queued_s = table.prefill_s(stats.prefill_tokens, candidate)
        return expected_wait.EngineLoad(
            self._free_tokens(candidate),
            stats.reserved_tokens,
            # In tokens of an engine of average speed.
            round(queued_s * table.prefill_tokens_per_s),
            self._quota.pause_s([candidate]),
        )

    def _wanted(
        self, now: float, candidate: upstream_lib.Upstream | None = None
    ) -> expected_wait.Wanted:
        prompt_tokens = self._reservation.prompt_tokens
        return expected_wait.Wanted(
            self.entry.tokens,
            self._stats_table.prefill_s(prompt_tokens, candidate),
            self.entry.late_at_s - now,
            self.entry.first_at_s - now,
            self.entry.send_by_s - now,
        )

    @property
    def is_limited(self) -> bool:
        """Whether all engines limit what they get."""
        return self._quota.has_limits and self._quota.is_limited(
            self._available()
        )

    def rate_wait(self, ahead: int) -> expected_wait.ExpectedWait:
        """Returns the wait until the engines' own limits allow the request.

        Args:
          ahead: Number of requests of this gateway that go first.
        """
        if not self.is_limited:
            return expected_wait.NO_WAIT
        available = self._available()
        bound_by = expected_wait.BoundBy.RATE
        if self._quota.pause_s(available):
            bound_by = expected_wait.BoundBy.PAUSE
        return expected_wait.ExpectedWait(
            self._quota.wait_s(available, ahead), bound_by
        )

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
        return self._lasting(beside or fitting)

    def _lasting(
        self, candidates: list[upstream_lib.Upstream]
    ) -> list[upstream_lib.Upstream]:
        """Returns the engines whose version is not about to be gone, if any.

        Applies to generations that have not begun; the others have no choice.
        """
        if self._origin is not None or not self._has_several_versions:
            return candidates
        retiring = self._upstreams.retiring_pools(self.req.service.name)
        lasting = [
            one
            for one in candidates
            if software_versions.pool_of(one) not in retiring
        ]
        return lasting or candidates

    @property
    def _has_several_versions(self) -> bool:
        return self._upstreams.versions.has_several(self.req.service.name)

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
        self,
        candidates: list[upstream_lib.Upstream],
        assessments: dict[str, pace.Assessment],
    ) -> upstream_lib.Upstream | None:
        gateways = self._upstreams.gateway_count
        if publish_timing.min_interval_s(gateways):
            now = asyncio.get_running_loop().time()
            count = publish_timing.candidate_count(
                gateways, len(candidates), self._demand.arrivals_per_s(now)
            )
            candidates = self._rng.sample(
                candidates, min(len(candidates), count)
            )
        found = choose.choose_engine(
            candidates,
            self._stats_table,
            self._zone,
            self._engine,
            self.entry.tokens,
            late_costs={key: one.cost for key, one in assessments.items()},
        )
        if found is not None:
            expected = assessments.get(found.key, pace.ON_TIME)
            self.req.late_probability = expected.late
            self.req.pace_miss = not expected.is_match
        return found

    def _displaced_tokens(self) -> int:
        """Returns the memory of runs on leaving engines, which must be moved.

        They take precedence: a run that finds no room is lost.
        """
        leaving = self._upstreams.leaving(self.req.service.name)
        if leaving and self._has_several_versions:
            # Where no engine of its version is left, a run ends where it is.
            pools = set(map(software_versions.pool_of, self._available()))
            leaving = [
                one
                for one in leaving
                if software_versions.pool_of(one) in pools
            ]
        return sum(map(self._stats_table.reserved_tokens, leaving))

    def _available(self) -> list[upstream_lib.Upstream]:
        candidates = self._upstreams.available(
            self.req.service.name, self.req.regions
        )
        versions = self._upstreams.versions
        accepting = (
            one
            for one in choose.accepting_work(candidates, self._avoid)
            if versions.may_continue(self._origin, one)
        )
        return choose.without_faulty(
            accepting, self._stats_table, self._upstreams.gateway_count
        )

    def _sendable(self) -> list[upstream_lib.Upstream]:
        """Returns the available engines for which the quota allows a send."""
        available = self._available()
        sendable = [one for one in available if self._quota.allows(one)]
        versions = self._upstreams.versions
        service = self.req.service.name
        if self._origin is None and versions.has_stages(service):
            best = min(map(versions.stage, available), default=None)
            if best is software_versions.Stage.STORING:
                return []
            sendable = [one for one in sendable if versions.stage(one) is best]
        if not self._has_several_versions:
            return sendable
        return [
            one
            for one in sendable
            if software_versions.pool_of(one) not in self._reserved
        ]

    def _free_tokens(self, candidate: upstream_lib.Upstream) -> float:
        urgent = self.entry.priority <= URGENT_PRIORITY
        share = URGENT_OVERCOMMIT_SHARE if urgent else OVERCOMMIT_SHARE
        used = self._stats_table.of(candidate).reserved_tokens
        return share * self._engine.memory_tokens - used

    def _fits(self, candidate: upstream_lib.Upstream, now: float) -> bool:
        if self.entry.tokens > self._free_tokens(candidate):
            return False
        ahead = self._stats_table.of(candidate).prefill_tokens
        bound_s = expected_wait.prefill_ahead_bound_s(
            self._wanted(now, candidate)
        )
        return self._stats_table.prefill_s(ahead, candidate) <= bound_s
