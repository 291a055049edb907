"""An engine that leaves, and how long its runs take to move away."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.balance import book
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.stream import live

__all__ = ['LeavingEngine']

# Shortest notice given; an engine that does not say when it goes is taken to
# go then.
MIN_NOTICE_S = 1.45
# The order to stop, the copy of what is new by then, and their round trips.
FINAL_COPY_S = 0.06
# A run grows while it is copied, and the link carries backups besides.
GROWTH_FACTOR = 1.1
# Between availability zones memory moves at half the rate.
CROSS_ZONE_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class LeavingEngine:
    """An engine that leaves.

    Attributes:
      upstream: The engine.
      spec: What engines of its service have.
      noticed_at_s: Loop time at which its leaving was learned.
      page: What is known of the engine.
      reported_tokens: Tokens in memory of its runs, by request, as it reported.
    """

    upstream: upstream_lib.Upstream
    spec: routing_table.Engine
    noticed_at_s: float
    page: book.Page
    reported_tokens: dict[str, int]

    @property
    def leaves_at_s(self) -> float:
        """Loop time at which it goes."""
        return self.page.leaves_at_s or self.noticed_at_s + MIN_NOTICE_S

    def memory_tokens(self, stream: live.Stream) -> int:
        """Returns a run's tokens in memory, of late."""
        reported = self.reported_tokens.get(stream.exchange.id_text, 0)
        return max(reported, stream.prompt.input_tokens)

    def move_s(self, stream: live.Stream, *, cross_zone: bool = True) -> float:
        """Returns how long a move takes on a free link, in seconds."""
        copy_s = GROWTH_FACTOR * self.spec.copy_s(self.memory_tokens(stream))
        return (
            copy_s * (CROSS_ZONE_FACTOR if cross_zone else 1.0) + FINAL_COPY_S
        )
