"""What a router has seen of the logs of all routers."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from quetzalsill_router.durable import row as durable_row

__all__ = ['Watch']


@dataclasses.dataclass(slots=True)
class _Sight:
    """A row and since when it stands unchanged, by this reader's clock."""

    versioned: durable_row.Versioned
    since: float
    unchanged_s: float = 0.0


class Watch:
    """Judges which routers live by whether their rows change."""

    def __init__(self) -> None:
        self._sights: dict[str, _Sight] = {}

    def saw(
        self, rows: Iterable[durable_row.Versioned], asked_at: float
    ) -> None:
        """Takes in rows that were read.

        Args:
          rows: The rows.
          asked_at: Time of the event loop's clock when the read was sent;
            the rows stood so at that time or later.
        """
        for versioned in rows:
            log = versioned.row.log
            sight = self._sights.get(log)
            if sight is None or sight.versioned != versioned:
                now = asyncio.get_running_loop().time()
                self._sights[log] = _Sight(versioned, now)
            else:
                sight.unchanged_s = max(asked_at - sight.since, 0.0)

    def keep_only(self, logs: set[str]) -> None:
        """Forgets rows that are gone."""
        for log in self._sights.keys() - logs:
            del self._sights[log]

    def restart(self) -> None:
        """Judges anew.

        While the platform does not answer the rows of live routers do not
        change either, so the time of an outage must not count.
        """
        now = asyncio.get_running_loop().time()
        for sight in self._sights.values():
            sight.since = now
            sight.unchanged_s = 0.0

    def live(self) -> list[durable_row.LogRow]:
        """Gives the newest row of each live node."""
        newest: dict[str, durable_row.LogRow] = {}
        for row in self._open():
            known = newest.get(row.node)
            if known is None or _order(known) < _order(row):
                newest[row.node] = row
        return [row for row in newest.values() if not self._lapsed(row)]

    def orphans(self) -> list[durable_row.LogRow]:
        """Gives the open logs that no live router writes."""
        newest: dict[str, tuple[int, int]] = {}
        for row in self._open():
            order = max(newest.get(row.node, (0, 0)), _order(row))
            newest[row.node] = order
        return [
            row
            for row in self._open()
            if _order(row) < newest[row.node] or self._lapsed(row)
        ]

    def kept_by(self, log: str) -> list[durable_row.LogRow]:
        """Gives the closed logs that came to a log, also by way of others."""
        rows = {name: s.versioned.row for name, s in self._sights.items()}
        return [
            row
            for row in rows.values()
            if row.keeper and _last_keeper(rows, row) == log
        ]

    def replaced(self, node: str, incarnation: int) -> bool:
        """Whether a newer process of a node has an open log."""
        return any(
            row.node == node and row.incarnation > incarnation
            for row in self._open()
        )

    def unchanged_s(self, log: str) -> float:
        """Gives how long a row was seen unchanged."""
        return self._sights[log].unchanged_s

    def _open(self) -> Iterator[durable_row.LogRow]:
        rows = (sight.versioned.row for sight in self._sights.values())
        return (row for row in rows if not row.keeper)

    def _lapsed(self, row: durable_row.LogRow) -> bool:
        return row.released or self.unchanged_s(row.log) >= row.ttl_s


def _order(row: durable_row.LogRow) -> tuple[int, int]:
    return row.incarnation, row.epoch


def _last_keeper(
    rows: dict[str, durable_row.LogRow], row: durable_row.LogRow
) -> str:
    while row.keeper in rows and rows[row.keeper].keeper:
        row = rows[row.keeper]
    return row.keeper
