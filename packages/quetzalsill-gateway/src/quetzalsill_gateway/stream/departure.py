"""An engine that leaves, and how long its runs take to move away."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.balance import upstream_stats
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.stream import live

__all__ = ['Departure']

# Shortest notice given; an engine that does not say when it goes is taken to
# go then.
LEAST_NOTICE_S = 1.45
# The order to stop, the copy of what is new by then, and their round trips.
LAST_S = 0.06
# A run grows while it is copied, and the link carries backups besides.
GROWTH = 1.1
# Between availability zones memory moves at half the rate.
CROSSING = 2.0


@dataclasses.dataclass(slots=True)
class Departure:
    """An engine that leaves.

    Attributes:
      source: The engine.
      engine: What engines of its service have.
      begun_s: Loop time at which its leaving was learned.
      stats: What is known of the engine.
      tokens: Tokens in memory of its runs, by request, as it reported.
    """

    source: upstream_lib.Upstream
    engine: routing_table.Engine
    begun_s: float
    stats: upstream_stats.UpstreamStats
    tokens: dict[str, int]

    @property
    def leaves_at_s(self) -> float:
        """Loop time at which it goes."""
        return self.stats.leaves_at_s or self.begun_s + LEAST_NOTICE_S

    def held(self, stream: live.Stream) -> int:
        """Returns a run's tokens in memory, of late."""
        reported = self.tokens.get(stream.exchange.id_text, 0)
        return max(reported, stream.prompt.input_tokens)

    def move_s(self, stream: live.Stream, *, crossing: bool = True) -> float:
        """Returns how long a move takes on a free link, in seconds."""
        copy_s = GROWTH * self.engine.copy_s(self.held(stream))
        return copy_s * (CROSSING if crossing else 1.0) + LAST_S
