"""Samples the time between the events of a run, to estimate engine speeds."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['GapSampler']

# An event costs a few microseconds on average only if most are not sampled.
INTERVAL_S = 0.1
# The socket was not read while the caller's was full.
MAX_DRAIN_S = 0.005
# Before a prefill is complete, pauses of the loop within this time count.
PREFILL_CHECK_S = 0.1


class GapSampler:
    """Samples the run of one segment.

    There is one for each segment, so no sample spans two upstreams.
    """

    def __init__(
        self, core: core_lib.Core, upstream: upstream_lib.Upstream
    ) -> None:
        """Starts before the first event.

        Args:
          core: State of the gateway.
          upstream: Upstream that runs the segment.
        """
        self._core = core
        self._upstream = upstream
        self._last_s: float | None = None
        self._sampled_s = -math.inf

    def is_punctual(self, now: float) -> bool:
        """Whether the event loop was not late before `now`."""
        return not self._core.loop_delay.was_late(now - PREFILL_CHECK_S, now)

    def record(self, count: int, now: float) -> None:
        """Records the events that one read brought.

        Args:
          count: Number of events, at least 1.
          now: Loop time.
        """
        last_s, self._last_s = self._last_s, now
        if last_s is None or now - self._sampled_s < INTERVAL_S:
            return
        if self._core.loop_delay.was_late(last_s, now):
            return
        self._sampled_s = now
        stats = self._core.stats_table.of(self._upstream)
        self._core.engine_speeds.record_event(
            self._upstream,
            (now - last_s) / count,
            max(0, stats.runs - 1),
            is_prefilling=stats.prefill_tokens > 0,
        )

    def resume(self, now: float) -> None:
        """Takes no sample of the next gap if the caller was slow to read."""
        if self._last_s is not None and now - self._last_s > MAX_DRAIN_S:
            self._last_s = None
