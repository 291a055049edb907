"""An engine that is about to shut down, and how long moving its runs takes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.balance import upstream_stats
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.stream import live

__all__ = ['LeavingEngine']

# Shortest notice that is given, and the default for engines that do not report
# when they shut down.
MIN_NOTICE_S = 1.45
# Stop command, copy of the tokens generated since the first copy, round trips.
FINAL_COPY_S = 0.06
# The run grows while it is copied, and backups use the same link.
GROWTH_FACTOR = 1.1
# The transfer rate between availability zones is half that within one.
CROSS_ZONE_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class LeavingEngine:
    """An engine that is about to shut down.

    Attributes:
      upstream: The engine's membership entry.
      spec: Capabilities and link rate of the service's engines.
      noticed_at_s: Loop time at which this gateway learned of the shutdown.
      stats: Statistics that this gateway keeps on the engine.
      reported_tokens: Tokens in the KV cache of each run, by request id, from
        the engine's report.
    """

    upstream: upstream_lib.Upstream
    spec: routing_table.Engine
    noticed_at_s: float
    stats: upstream_stats.UpstreamStats
    reported_tokens: dict[str, int]

    @property
    def leaves_at_s(self) -> float:
        """Loop time at which the engine shuts down."""
        return self.stats.leaves_at_s or self.noticed_at_s + MIN_NOTICE_S

    def memory_tokens(self, stream: live.Stream) -> int:
        """Returns the last known number of tokens in a run's KV cache."""
        reported = self.reported_tokens.get(stream.exchange.id_text, 0)
        return max(reported, stream.prompt.input_tokens)

    def move_s(self, stream: live.Stream, *, cross_zone: bool = True) -> float:
        """Returns the time to move a run over an idle link, in seconds."""
        copy_s = GROWTH_FACTOR * self.spec.copy_s(self.memory_tokens(stream))
        return (
            copy_s * (CROSS_ZONE_FACTOR if cross_zone else 1.0) + FINAL_COPY_S
        )
