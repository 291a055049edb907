"""Which runs are backed up at a second engine, and at which one.

The runs of an engine that crashes are lost, and the link of an engine that
leaves at short notice carries only some of its runs away in time. A run whose
memory is replicated to a second engine as it grows resumes there after a short
pause.

A backup takes as much memory as its run. Where memory is short it would make
other runs wait or have them preempted, which costs more than it saves. Backups
therefore only use memory that stays free with all runs at their expected ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from quetzalsill_gateway.balance import choose

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.balance import upstream_stats
    from quetzalsill_gateway.fleet import upstream

__all__ = ['destination', 'is_worthwhile']

# Share of an engine's memory that runs and backups together may be expected to
# need. The rest is for new runs and for those that exceed their callers' length
# hints.
MAX_MEMORY_SHARE = 0.7
# The same for all engines of the service together: a new engine is empty, but
# fills up soon.
MAX_FLEET_SHARE = 0.6
# A run must last this many times as long as the copying of its prompt: a backup
# that takes a quarter of the run to arrive protects little of it.
MIN_COPIES_PER_RUN = 4.0


def is_worthwhile(
    engine: routing_table.Engine,
    stats_table: upstream_stats.StatsTable,
    reservation: upstream_stats.Reservation,
    source: upstream.Upstream | None = None,
) -> bool:
    """Whether a run lasts much longer than the copying of its prompt.

    Args:
      engine: Properties of the engines.
      stats_table: Statistics of each.
      reservation: Memory that the run is expected to need.
      source: Engine of the run.
    """
    copy_s = engine.copy_s(reservation.prompt_tokens)
    duration_s = stats_table.generation_s(reservation, source)
    return duration_s >= MIN_COPIES_PER_RUN * copy_s


def destination(
    candidates: Iterable[upstream.Upstream],
    stats_table: upstream_stats.StatsTable,
    source: upstream.Upstream,
    engine: routing_table.Engine,
    request_id: bytes,
    needs_tokens: int,
) -> upstream.Upstream | None:
    """Returns the engine for the backup; None if no memory is free.

    Prefers engines in the availability zone of the source, where a copy is
    twice as fast, then the one with the least memory in use. A hash of the
    request id decides between equals.
    """
    bound = MAX_MEMORY_SHARE * engine.memory_tokens

    def rank(candidate: upstream.Upstream) -> tuple[bool, int, int]:
        crossing = candidate.availability_zone != source.availability_zone
        tie_break = xxhash.xxh32_intdigest(request_id + candidate.id.encode())
        return (
            crossing,
            stats_table.of(candidate).held_tokens // max(1, needs_tokens),
            tie_break,
        )

    engines = list(choose.accepting_work(candidates, frozenset()))
    held = sum(stats_table.of(candidate).held_tokens for candidate in engines)
    if held + needs_tokens > MAX_FLEET_SHARE * engine.memory_tokens * len(
        engines
    ):
        return None
    with_room = [
        candidate
        for candidate in engines
        if candidate.id != source.id
        and stats_table.of(candidate).held_tokens + needs_tokens <= bound
    ]
    return min(with_room, key=rank, default=None)
