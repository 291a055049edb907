"""Matches one request to engines that are fast enough for its gaps."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzalsill_gateway.balance import pace

if TYPE_CHECKING:
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway.balance import upstream_stats
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['Matcher']

# A generation stops waiting for a faster engine this long before it would be
# late for want of time to prefill its prompt.
MATCH_MARGIN_S = 0.15


class Matcher:
    """Decides which engines one request may be sent to, by their speed."""

    def __init__(
        self,
        stats_table: upstream_stats.StatsTable,
        req: exchange_lib.Exchange,
        reservation: upstream_stats.Reservation,
        late_at_s: float,
    ) -> None:
        """Starts with the arrival of a request.

        Args:
          stats_table: Statistics of each engine.
          req: The request.
          reservation: Memory that it is expected to need.
          late_at_s: Loop time from which it is late if it was not sent.
        """
        self._stats_table = stats_table
        self._req = req
        self._reservation = reservation
        self._late_at_s = late_at_s
        self._assessor: pace.Assessor | None = None
        self._assessor_until_s = -math.inf

    def assess(
        self, candidates: list[upstream_lib.Upstream], now: float
    ) -> dict[str, pace.Assessment]:
        """Returns the expected lateness by engine, empty if all keep up."""
        assessor = self._current(now)
        return self._assess(assessor, candidates) if assessor else {}

    def match(
        self, candidates: list[upstream_lib.Upstream], now: float
    ) -> tuple[list[upstream_lib.Upstream], dict[str, pace.Assessment]]:
        """Returns the engines to choose from, and their expected lateness.

        A generation waits for an engine that is fast enough for it as long as
        its first event can still be in time: then there is no engine to choose
        from. After that, and if no engine is fast enough, all are candidates.

        Args:
          candidates: Engines with room.
          now: Loop time.
        """
        assessor = self._current(now)
        if assessor is None:
            return candidates, {}
        found = self._assess(assessor, candidates)
        matching = [one for one in candidates if found[one.key].is_match]
        if matching:
            return matching, found
        own_s = self._stats_table.prefill_s(self._reservation.prompt_tokens)
        send_by_s = self._late_at_s - own_s - MATCH_MARGIN_S
        may_wait = now < send_by_s and assessor.has_match
        return [] if may_wait else candidates, found

    def _current(self, now: float) -> pace.Assessor | None:
        """Returns an assessor, None if no engine is too slow for any request.

        A request that is late already cannot become late by its gaps.
        """
        if now < self._assessor_until_s:
            return self._assessor
        table, req = self._stats_table, self._req
        speeds, service = table.engine_speeds, req.service.name
        max_gap_s = req.route.max_gap_s
        self._assessor_until_s = now + pace.MAX_ASSESSOR_AGE_S
        self._assessor = None
        if pace.is_needed(speeds, service, max_gap_s):
            is_late = now >= self._late_at_s
            if not is_late:
                self._assessor_until_s = min(
                    self._assessor_until_s, self._late_at_s
                )
            work = pace.Work(
                max_gap_s,
                0.0 if is_late else table.generation_s(self._reservation),
                table.prefill_s(self._reservation.prompt_tokens),
            )
            self._assessor = pace.Assessor(speeds, service, work)
        return self._assessor

    def _assess(
        self,
        assessor: pace.Assessor,
        candidates: list[upstream_lib.Upstream],
    ) -> dict[str, pace.Assessment]:
        return {
            one.key: assessor.assess(one, self._stats_table.of(one).runs)
            for one in candidates
        }
