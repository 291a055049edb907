"""Choice of the upstream for a request, by expected cost."""

from __future__ import annotations

import asyncio
import random
import types
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import TYPE_CHECKING

import xxhash

from quetzalsill_gateway.balance import faults

if TYPE_CHECKING:
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.balance import upstream_stats
    from quetzalsill_gateway.fleet import upstream

__all__ = [
    'accepting_work',
    'choose_engine',
    'choose_for_call',
    'has_room',
    'rank_destinations',
    'without_faulty',
]

# Time by which each running generation delays the next event of the others.
RUN_COST_S = 0.02
# Waiting time worth accepting to keep the traffic in the availability zone.
CROSS_ZONE_COST_S = 0.04
CROSS_ZONE_CALL_COST_S = 0.002
# Waiting time worth accepting to use an empty engine instead of one whose
# memory is fully reserved. Runs exceed their callers' length hints; where
# memory runs out, one is preempted: its caller sees a pause, and its prompt is
# prefilled twice. Spreading by memory rather than by queued prefill makes that
# rarer.
MEMORY_COST_S = 3.0
# Above this share of its memory an engine is likely to preempt soon.
NEARLY_FULL_SHARE = 0.9
NEARLY_FULL_COST_S = 30.0
# Waiting time worth accepting so that one generation fewer is late. A late one
# is worth a fraction, so this exceeds what memory and prefill differ by.
LATE_COST_S = 10.0
FAILURE_COST_S = 0.5
CALL_FAILURE_WEIGHT = 2.0
# A call that hangs takes about ten times as long as one that is answered. Calls
# that must not be repeated go to a hanging upstream only as a last resort.
HANG_FACTOR = 10.0
NON_REPEATABLE_HANG_FACTOR = 100.0
JITTER = 0.05
# Largest share of a service's engines that is excluded for failures.
MAX_EXCLUDED_SHARE = 0.34
# A run is moved only to where it is not expected to cause preemption. An engine
# in another availability zone with room is preferred to a full one in the same
# zone: the copy is slower, but nothing is lost.
MAX_MEMORY_SHARE = 0.95
NO_LATE_COSTS: Mapping[str, float] = types.MappingProxyType({})


def choose_for_call(
    candidates: Iterable[upstream.Upstream],
    stats_table: upstream_stats.StatsTable,
    zone: str,
    avoid: frozenset[str] = frozenset(),
    *,
    may_repeat: bool = True,
) -> upstream.Upstream | None:
    """Returns the upstream with the lowest expected latency for a unary call.

    An upstream that hangs is probed by calls that may be repeated. Others are
    kept away from it, since a call that hangs there would fail.

    Args:
      candidates: Upstreams of the service.
      stats_table: Statistics of each.
      zone: Availability zone of this gateway.
      avoid: Ids of upstreams not to use.
      may_repeat: Whether the call may be repeated.
    """
    hang_factor = HANG_FACTOR if may_repeat else NON_REPEATABLE_HANG_FACTOR
    now = asyncio.get_running_loop().time()

    def cost(candidate: upstream.Upstream) -> float:
        stats = stats_table.of(candidate)
        rounds = 1.0 + stats.outstanding / max(1, candidate.slots)
        time_s = stats.expected_latency_s(now) * rounds
        time_s *= 1.0 + CALL_FAILURE_WEIGHT * stats.recent_failures(now)
        if (
            faults.health_state(stats.fleet_hangs(now))
            is faults.HealthState.FAULTY
        ):
            time_s *= hang_factor
        if candidate.availability_zone != zone:
            time_s += CROSS_ZONE_CALL_COST_S
        return time_s * (1.0 + JITTER * random.random())

    return min(accepting_work(candidates, avoid), key=cost, default=None)


def choose_engine(
    candidates: Iterable[upstream.Upstream],
    stats_table: upstream_stats.StatsTable,
    zone: str,
    engine: routing_table.Engine,
    needs_tokens: int,
    avoid: frozenset[str] = frozenset(),
    late_costs: Mapping[str, float] = NO_LATE_COSTS,
) -> upstream.Upstream | None:
    """Returns the engine with the lowest expected cost, memory included.

    Args:
      candidates: Engines of the service.
      stats_table: Statistics of each.
      zone: Availability zone of this gateway.
      engine: Properties of the engines.
      needs_tokens: Memory that the generation is expected to need.
      avoid: Ids of engines not to use.
      late_costs: Expected number of generations that the choice makes late, by
        key of the engine; 0 for engines that are missing.
    """
    now = asyncio.get_running_loop().time()

    def cost(candidate: upstream.Upstream) -> float:
        stats = stats_table.of(candidate)
        wait_s = stats_table.prefill_s(stats.prefill_tokens, candidate)
        wait_s += stats.runs * RUN_COST_S
        wait_s += FAILURE_COST_S * stats.fleet_failures(now)
        share = (stats.held_tokens + needs_tokens) / max(
            1, engine.memory_tokens
        )
        wait_s += MEMORY_COST_S * share
        wait_s += LATE_COST_S * late_costs.get(candidate.key, 0.0)
        if share > NEARLY_FULL_SHARE:
            wait_s += NEARLY_FULL_COST_S * (share - NEARLY_FULL_SHARE)
        if candidate.availability_zone != zone:
            wait_s += CROSS_ZONE_COST_S
        return wait_s * (1.0 + JITTER * random.random())

    return min(accepting_work(candidates, avoid), key=cost, default=None)


def without_faulty(
    candidates: Iterable[upstream.Upstream],
    stats_table: upstream_stats.StatsTable,
    sharers: int,
) -> list[upstream.Upstream]:
    """Returns the engines without those that failed recently.

    An engine on trial gets about one request at a time from all gateways
    together: each gateway includes it with a probability of 1 / `sharers`, and
    only while nothing runs there. If more than `MAX_EXCLUDED_SHARE` of the
    engines would be excluded, the cause is more likely the requests or the
    network, and none is.

    Args:
      candidates: Engines of the service.
      stats_table: Statistics of each.
      sharers: Number of gateways that send to these engines.
    """
    now = asyncio.get_running_loop().time()
    engines = list(candidates)
    healthy = []
    excluded = 0
    for candidate in engines:
        stats = stats_table.of(candidate)
        state = faults.health_state(stats.fleet_failures(now))
        if state is faults.HealthState.ON_TRIAL:
            if stats.runs or random.random() * sharers >= 1.0:
                excluded += 1
                continue
        elif state is faults.HealthState.FAULTY:
            excluded += 1
            continue
        healthy.append(candidate)
    return healthy if excluded <= MAX_EXCLUDED_SHARE * len(engines) else engines


def has_room(
    stats: upstream_stats.UpstreamStats,
    engine: routing_table.Engine,
    needs_tokens: int,
) -> bool:
    """Whether a run can resume at an engine without causing preemption."""
    tokens = stats.held_tokens + needs_tokens
    return tokens <= MAX_MEMORY_SHARE * engine.memory_tokens


def rank_destinations(
    candidates: Iterable[upstream.Upstream],
    stats_table: upstream_stats.StatsTable,
    source: upstream.Upstream,
    engine: routing_table.Engine,
    request_id: bytes,
    needs_tokens: int,
    is_match: Callable[[upstream.Upstream], bool] = lambda _: True,
) -> list[upstream.Upstream]:
    """Returns the engines that a run may be moved to, the best first.

    Engines with room go first, then those that are fast enough, then those in
    the availability zone of the source, where a copy is twice as fast. A hash
    of the request id decides between equals: all gateways know the same load,
    and if each took the emptiest engine, all runs of a source would go through
    one link.

    Args:
      candidates: Engines of the service.
      stats_table: Statistics of each.
      source: Engine that the run leaves.
      engine: Properties of the engines.
      request_id: Id of the request.
      needs_tokens: Memory that the run is expected to need.
      is_match: Whether an engine is fast enough for the run's gaps.
    """

    def rank(candidate: upstream.Upstream) -> tuple[bool, bool, bool, int]:
        is_full = not has_room(stats_table.of(candidate), engine, needs_tokens)
        crossing = candidate.availability_zone != source.availability_zone
        tie_break = xxhash.xxh32_intdigest(request_id + candidate.id.encode())
        return is_full, not is_match(candidate), crossing, tie_break

    return sorted(accepting_work(candidates, frozenset((source.id,))), key=rank)


def accepting_work(
    candidates: Iterable[upstream.Upstream], avoid: frozenset[str]
) -> Iterator[upstream.Upstream]:
    """Yields the upstreams that accept new work, except those in `avoid`."""
    return (
        candidate
        for candidate in candidates
        if not candidate.leaving and candidate.id not in avoid
    )
