"""Which runs of an engine that leaves are copied in time.

All copies go through the engine's link, one after another, whichever gateway
orders them. Every gateway works out alike, from the engine's own report of its
runs, which of them fit before it goes: copies that cannot end in time would
hold up the last copies of those that can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill_gateway import dialect, routing_table

__all__ = ['ends']

BITS = 8
MBPS = 1e6
# A run grows until its turn comes.
GROWTH = 1.1


def ends(
    runs: Iterable[dialect.Run], engine: routing_table.Engine
) -> dict[str, float]:
    """Returns by request id how long it takes until a run is copied.

    The smallest run comes first, since most are saved in that order where the
    time does not suffice for all.

    Returns:
      Seconds from the start of the copies, if none of them crosses into
      another availability zone.
    """
    found: dict[str, float] = {}
    end_s = 0.0
    for run in sorted(runs, key=lambda run: (run.tokens, run.request_id)):
        bits = run.tokens * engine.token_bytes * BITS
        end_s += GROWTH * bits / (engine.link_mbps * MBPS)
        found[run.request_id] = end_s
    return found
