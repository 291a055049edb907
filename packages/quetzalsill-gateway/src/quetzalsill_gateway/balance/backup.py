"""Which runs are backed up at a second engine, and at which one.

An engine that crashes takes its runs along, and one that leaves at short
notice has a link that carries only some of them away in time. A run whose
memory was sent to another engine while it grew goes on there within a pause
that callers hardly notice.

The copy takes as much memory as the run. Where memory is short, a copy would
make others wait or push them off, which costs more than it saves; so copies
take only what stays free with all runs at their expected ends.
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

# Share of an engine's memory up to which runs and copies together are expected
# to need it. The rest is for runs that arrive, and for those that outgrow
# their callers' guesses.
MAX_MEMORY_SHARE = 0.7
# And up to which all engines of the service together are expected to need it:
# an engine that has just come is empty, and will not be for long.
MAX_FLEET_SHARE = 0.6
# A copy is made as the run goes on. One that needs a quarter of the run's time
# to arrive protects little of it.
MIN_COPIES_PER_RUN = 4.0


def is_worthwhile(
    engine: routing_table.Engine,
    stats_table: upstream_stats.StatsTable,
    reservation: upstream_stats.Reservation,
) -> bool:
    """Whether a run outlasts the copying of its prompt by far."""
    copy_s = engine.copy_s(reservation.prompt_tokens)
    return stats_table.generation_s(reservation) >= MIN_COPIES_PER_RUN * copy_s


def destination(
    candidates: Iterable[upstream.Upstream],
    stats_table: upstream_stats.StatsTable,
    source: upstream.Upstream,
    engine: routing_table.Engine,
    request_id: bytes,
    needs_tokens: int,
) -> upstream.Upstream | None:
    """Returns the engine for the copy, None if no memory lies free.

    Within the availability zone of the source memory moves twice as fast, so
    an engine there comes first. Of those with room the emptiest is taken, and
    the request's own id decides between equals.
    """
    bound = MAX_MEMORY_SHARE * engine.memory_tokens

    def rank(candidate: upstream.Upstream) -> tuple[bool, int, int]:
        crossing = candidate.availability_zone != source.availability_zone
        drawn = xxhash.xxh32_intdigest(request_id + candidate.id.encode())
        return (
            crossing,
            stats_table.of(candidate).held_tokens // max(1, needs_tokens),
            drawn,
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
