"""Choice of the upstream for a request."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

import xxhash

from quetzalsill_gateway.balance import failure_score

if TYPE_CHECKING:
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.balance import upstream_stats
    from quetzalsill_gateway.fleet import upstream

__all__ = [
    'choose_engine',
    'choose_for_call',
    'rank_destinations',
    'has_room',
    'accepting_work',
    'without_faulty',
]

# What a running generation adds to the time of everybody's next event.
RUN_COST_S = 0.02
# Crossing into another availability zone costs bytes and a little time; worth
# as much as this much waiting.
CROSS_ZONE_COST_S = 0.04
CROSS_ZONE_CALL_COST_S = 0.002
# An engine whose memory is all given out is worth this much waiting less than
# an empty one. Runs outgrow their callers' guesses, and where they meet one is
# pushed off: its caller sees a pause, and its prompt is read twice. Spread by
# memory rather than by what waits to be read, fewer meet. A third of it gives
# 0.000 to 0.010 less of what callers' work is worth by deployment, twice 0.012.
MEMORY_COST_S = 3.0
# Above this share of the memory the engine is about to push work off.
NEARLY_FULL_SHARE = 0.9
NEARLY_FULL_COST_S = 30.0
FAILURE_COST_S = 0.5
CALL_FAILURE_WEIGHT = 2.0
# A call that hangs takes some ten times as long as one that is answered. An
# order goes there only if nothing else is left.
HANG_FACTOR = 10.0
NON_REPEATABLE_HANG_FACTOR = 100.0
JITTER = 0.05
# Share of the engines of a service that are left out at once for failures.
MAX_EXCLUDED_SHARE = 0.34
# A run goes where it is not expected to push others off. A full engine of the
# same availability zone is left out for one of another: slow, but no loss.
MAX_MEMORY_SHARE = 0.95


def choose_for_call(
    candidates: Iterable[upstream.Upstream],
    stats_table: upstream_stats.StatsTable,
    zone: str,
    avoid: frozenset[str] = frozenset(),
    *,
    may_repeat: bool = True,
) -> upstream.Upstream | None:
    """Returns the upstream with the least expected time for a short call.

    One that has let calls hang is tried again by calls that may be repeated:
    an order that hangs there is lost for its caller.
    """
    hang_factor = HANG_FACTOR if may_repeat else NON_REPEATABLE_HANG_FACTOR
    now = asyncio.get_running_loop().time()

    def cost(candidate: upstream.Upstream) -> float:
        stats = stats_table.of(candidate)
        rounds = 1.0 + stats.outstanding / max(1, candidate.slots)
        time_s = stats.mean_latency_s * rounds
        time_s *= 1.0 + CALL_FAILURE_WEIGHT * stats.recent_failures(now)
        if (
            failure_score.health_state(stats.fleet_hangs(now))
            is failure_score.HealthState.FAULTY
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
) -> upstream.Upstream | None:
    """Returns the engine with the least expected wait that has the memory."""
    now = asyncio.get_running_loop().time()

    def cost(candidate: upstream.Upstream) -> float:
        stats = stats_table.of(candidate)
        wait_s = stats_table.prefill_s(stats.prefill_tokens)
        wait_s += stats.runs * RUN_COST_S
        wait_s += FAILURE_COST_S * stats.fleet_failures(now)
        share = (stats.held_tokens + needs_tokens) / max(
            1, engine.memory_tokens
        )
        wait_s += MEMORY_COST_S * share
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
    """Returns the engines without those that failed of late.

    One that is on trial gets one request at a time, whichever gateway draws
    it. Where more than a share of the engines has failed, the cause is rather
    the requests' own or the network's, and none is left out.
    """
    now = asyncio.get_running_loop().time()
    engines = list(candidates)
    healthy = []
    excluded = 0
    for candidate in engines:
        stats = stats_table.of(candidate)
        state = failure_score.health_state(stats.fleet_failures(now))
        if state is failure_score.HealthState.ON_TRIAL:
            if stats.runs or random.random() * sharers >= 1.0:
                excluded += 1
                continue
        elif state is failure_score.HealthState.FAULTY:
            excluded += 1
            continue
        healthy.append(candidate)
    return healthy if excluded <= MAX_EXCLUDED_SHARE * len(engines) else engines


def has_room(
    stats: upstream_stats.UpstreamStats,
    engine: routing_table.Engine,
    needs_tokens: int,
) -> bool:
    """Whether a run may go on at an engine without pushing others off."""
    tokens = stats.held_tokens + needs_tokens
    return tokens <= MAX_MEMORY_SHARE * engine.memory_tokens


def rank_destinations(
    candidates: Iterable[upstream.Upstream],
    stats_table: upstream_stats.StatsTable,
    source: upstream.Upstream,
    engine: routing_table.Engine,
    request_id: bytes,
    needs_tokens: int,
) -> list[upstream.Upstream]:
    """Returns engines that a run may go on at, the best first.

    Within the availability zone of the source memory moves twice as fast.
    Among engines with room the request's own id decides: all gateways know
    the same figures, and each taking the emptiest engine would send every run
    of a source through one link.
    """

    def rank(candidate: upstream.Upstream) -> tuple[bool, bool, int]:
        is_full = not has_room(stats_table.of(candidate), engine, needs_tokens)
        crossing = candidate.availability_zone != source.availability_zone
        drawn = xxhash.xxh32_intdigest(request_id + candidate.id.encode())
        return is_full, crossing, drawn

    return sorted(accepting_work(candidates, frozenset((source.id,))), key=rank)


def accepting_work(
    candidates: Iterable[upstream.Upstream], avoid: frozenset[str]
) -> Iterator[upstream.Upstream]:
    """Yields the upstreams that take new work, but for those to avoid."""
    return (
        candidate
        for candidate in candidates
        if not candidate.leaving and candidate.id not in avoid
    )
