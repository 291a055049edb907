"""Announces new items of an answer to a call that overlapped another call.

Of gateways whose calls overlap, only the first to be answered announces its
answer (`watch.schedule`). A change that came after that answer is only in the
answers of the others. Each of them waits for a random delay and announces it,
unless a peer has done so by then. In a large fleet an announcement takes longer
to arrive and costs more, so the delay is longer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from quetzalsill_gateway.fleet import publish_timing
from quetzalsill_gateway.fleet import revision as revision_lib

__all__ = ['DeferredAnnouncement']

# Longer than an announcement takes to arrive, so that only one or two of many
# gateways make theirs.
JITTER_S = 0.05


class DeferredAnnouncement:
    """The deferred announcements of one gateway."""

    def __init__(
        self, gateway_count: Callable[[], int], rng: random.Random | None = None
    ) -> None:
        """Starts with nothing announced.

        Args:
          gateway_count: Returns how many gateways follow the source together,
            this included.
          rng: Draws the delays.
        """
        self._gateway_count = gateway_count
        self._rng = rng or random.Random()
        self._announced = revision_lib.NONE
        self._timer: asyncio.TimerHandle | None = None

    def note_announced(self, revision: revision_lib.Revision) -> None:
        """Records up to which revision a peer has announced the source."""
        self._announced = max(self._announced, revision)

    def reset(self) -> None:
        """Forgets the announced revision, which was none of the source's."""
        self._announced = revision_lib.NONE

    def schedule(
        self, revision: revision_lib.Revision, announce: Callable[[], None]
    ) -> None:
        """Announces an answer after a delay, unless a peer does so before.

        Args:
          revision: Revision of the answer.
          announce: Announces all that is known at that time.
        """
        if self._timer is not None:
            self._timer.cancel()

        def fire() -> None:
            self._timer = None
            if self._announced < revision:
                announce()

        min_delay_s = (
            publish_timing.spread_s(self._gateway_count(), is_urgent=True) / 2
        )
        delay_s = self._rng.uniform(min_delay_s, 2 * min_delay_s + JITTER_S)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, fire)
