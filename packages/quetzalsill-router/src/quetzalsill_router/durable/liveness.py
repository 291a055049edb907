"""What a router has seen of the logs of all routers."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from quetzalsill_router.durable import row as durable_row

__all__ = ['LivenessTracker']


@dataclasses.dataclass(slots=True)
class _Observation:
    """A row and since when it stands unchanged, by this reader's clock."""

    versioned: durable_row.VersionedRow
    since: float
    unchanged_s: float = 0.0


class LivenessTracker:
    """Judges which routers live by whether their rows change."""

    def __init__(self) -> None:
        self._observations: dict[str, _Observation] = {}

    def observe(
        self, rows: Iterable[durable_row.VersionedRow], requested_at: float
    ) -> None:
        """Takes in rows that were read.

        Args:
          rows: The rows.
          requested_at: Time of the event loop's clock when the read was sent;
            the rows stood so at that time or later.
        """
        for versioned in rows:
            log = versioned.row.log
            observation = self._observations.get(log)
            if observation is None or observation.versioned != versioned:
                now = asyncio.get_running_loop().time()
                self._observations[log] = _Observation(versioned, now)
            else:
                observation.unchanged_s = max(
                    requested_at - observation.since, 0.0
                )

    def retain(self, logs: set[str]) -> None:
        """Forgets rows that are gone."""
        for log in self._observations.keys() - logs:
            del self._observations[log]

    def reset(self) -> None:
        """Judges anew.

        While the platform does not answer the rows of live routers do not
        change either, so the time of an outage must not count.
        """
        now = asyncio.get_running_loop().time()
        for observation in self._observations.values():
            observation.since = now
            observation.unchanged_s = 0.0

    def live_rows(self) -> list[durable_row.LogRow]:
        """Gives the newest row of each live node."""
        newest: dict[str, durable_row.LogRow] = {}
        for row in self._open_rows():
            known = newest.get(row.node)
            if known is None or _order(known) < _order(row):
                newest[row.node] = row
        return [row for row in newest.values() if not self._is_expired(row)]

    def orphans(self) -> list[durable_row.LogRow]:
        """Gives the open logs that no live router writes."""
        newest: dict[str, tuple[int, int]] = {}
        for row in self._open_rows():
            order = max(newest.get(row.node, (0, 0)), _order(row))
            newest[row.node] = order
        return [
            row
            for row in self._open_rows()
            if _order(row) < newest[row.node] or self._is_expired(row)
        ]

    def kept_by(self, log: str) -> list[durable_row.LogRow]:
        """Gives the closed logs that came to a log, also by way of others."""
        rows = {name: s.versioned.row for name, s in self._observations.items()}
        return [
            row
            for row in rows.values()
            if row.keeper and _last_keeper(rows, row) == log
        ]

    def is_replaced(self, node: str, incarnation: int) -> bool:
        """Whether a newer process of a node has an open log."""
        return any(
            row.node == node and row.incarnation > incarnation
            for row in self._open_rows()
        )

    def unchanged_s(self, log: str) -> float:
        """Gives how long a row was seen unchanged."""
        return self._observations[log].unchanged_s

    def _open_rows(self) -> Iterator[durable_row.LogRow]:
        rows = (
            observation.versioned.row
            for observation in self._observations.values()
        )
        return (row for row in rows if not row.keeper)

    def _is_expired(self, row: durable_row.LogRow) -> bool:
        return row.released or self.unchanged_s(row.log) >= row.ttl_s


def _order(row: durable_row.LogRow) -> tuple[int, int]:
    return row.incarnation, row.epoch


def _last_keeper(
    rows: dict[str, durable_row.LogRow], row: durable_row.LogRow
) -> str:
    while row.keeper in rows and rows[row.keeper].keeper:
        row = rows[row.keeper]
    return row.keeper
