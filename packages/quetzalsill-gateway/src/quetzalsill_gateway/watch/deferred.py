"""Announces what is new in an answer whose call overlapped another's.

Of gateways whose calls overlap only the first to be answered announces its
answer (`watch.schedule`). A change that follows that answer is in those of the
others alone. Each of them waits for a draw and announces it, unless another
has by then. In a large fleet an announcement takes longer to arrive, and costs
more.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from quetzalsill_gateway.fleet import publish_timing
from quetzalsill_gateway.fleet import revision as revision_lib

__all__ = ['DeferredAnnouncement']

# Longer than an announcement is under way, so that one or two of many are made.
JITTER_S = 0.05


class DeferredAnnouncement:
    """One gateway's announcements of answers that came second."""

    def __init__(
        self, sharers: Callable[[], int], rng: random.Random | None = None
    ) -> None:
        """Starts with nothing announced.

        Args:
          sharers: Returns how many gateways tell each other, this included.
          rng: Draws the waits.
        """
        self._sharers = sharers
        self._rng = rng or random.Random()
        self._announced = revision_lib.NONE
        self._timer: asyncio.TimerHandle | None = None

    def note_announced(self, revision: revision_lib.Revision) -> None:
        """Notes up to where another gateway has announced the source."""
        self._announced = max(self._announced, revision)

    def reset(self) -> None:
        """Drops what was noted: an announcement was of no true revision."""
        self._announced = revision_lib.NONE

    def schedule(
        self, revision: revision_lib.Revision, announce: Callable[[], None]
    ) -> None:
        """Announces an answer later, unless another gateway does before.

        Args:
          revision: Revision up to which the answer tells.
          announce: Announces all that is known by then.
        """
        if self._timer is not None:
            self._timer.cancel()

        def due() -> None:
            self._timer = None
            if self._announced < revision:
                announce()

        least_s = publish_timing.spread_s(self._sharers(), is_urgent=True) / 2
        delay_s = self._rng.uniform(least_s, 2 * least_s + JITTER_S)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, due)
