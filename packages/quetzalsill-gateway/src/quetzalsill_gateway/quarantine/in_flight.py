"""Requests of this gateway that upstreams are running."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.http import call

__all__ = ['InFlight', 'Run']


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A request that was sent to an upstream.

    Attributes:
      exchange: The request.
      upstream: Where it was sent.
      conn: Connection on which it was sent.
      sent_s: Loop time at which it was sent.
      begun_s: Loop time at which the response began; None before.
      aborted: Whether this gateway has closed the connection.
    """

    exchange: exchange_lib.Exchange
    upstream: upstream_lib.Upstream
    conn: call.Conn
    sent_s: float
    begun_s: float | None = None
    aborted: bool = False

    def exposure_s(self, now: float) -> float:
        """Returns for how long it has been running, as far as is known."""
        return now - (self.sent_s if self.begun_s is None else self.begun_s)

    @property
    def wrote_s(self) -> float | None:
        """Loop time at which the body of the response began; None before."""
        return None if self.begun_s is None else self.conn.body_since_s

    def writing_s(self, now: float) -> float:
        """Returns for how long it has been producing output; 0 if it hasn't."""
        return 0.0 if self.wrote_s is None else now - self.wrote_s


class InFlight:
    """Index of the requests in flight."""

    def __init__(self) -> None:
        self._runs: set[Run] = set()

    def add(self, run: Run) -> None:
        """Adds a request that has been sent."""
        self._runs.add(run)

    def discard(self, run: Run) -> None:
        """Removes a request whose response has ended."""
        self._runs.discard(run)

    def writing(self) -> list[Run]:
        """Returns the requests whose response body has begun."""
        return [run for run in self._runs if run.wrote_s is not None]

    def abort(self, selects: Callable[[Run], bool]) -> int:
        """Closes the connections of requests, which ends their runs.

        Returns:
          Number of requests whose connection was closed.
        """
        runs = [run for run in self._runs if selects(run)]
        for run in runs:
            run.aborted = True
            run.conn.abort()
        return len(runs)
