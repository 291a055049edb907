"""Which runs of an engine that leaves are copied in time.

All copies go through the engine's link, one after another, whichever gateway
orders them. Every gateway works out alike, from the engine's own report of its
runs, which of them fit before it goes: copies that cannot end in time would
hold up the last copies of those that can.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill_gateway import dialect, routing_table

__all__ = ['Turn', 'turns']

# A run grows until its turn comes.
GROWTH = 1.1


@dataclasses.dataclass(slots=True, frozen=True)
class Turn:
    """When a run is copied, if no copy crosses into another zone.

    Attributes:
      start_s: Time until the copies before it are through, in seconds.
      end_s: Time until it is copied, in seconds.
    """

    start_s: float = 0.0
    end_s: float = 0.0


def turns(
    runs: Iterable[dialect.Run], engine: routing_table.Engine
) -> dict[str, Turn]:
    """Returns the turn of each run by request id.

    The smallest run comes first, since most are saved in that order where the
    time does not suffice for all.
    """
    found: dict[str, Turn] = {}
    end_s = 0.0
    for run in sorted(runs, key=lambda run: (run.tokens, run.request_id)):
        start_s = end_s
        end_s += GROWTH * engine.copy_s(run.tokens)
        found[run.request_id] = Turn(start_s, end_s)
    return found
