"""Connections to upstreams that are kept between calls."""

from __future__ import annotations

import asyncio
import collections

from quetzalsill_gateway.http import call

__all__ = ['Pool']

KEPT_PER_ADDRESS = 16
# A server closes an idle connection after its stated time, or sooner. Whatever
# is sent while its close is on the way is lost with its outcome unknown, so a
# kept connection is used well within that time, and only for a short while
# where the server states none.
SAFE_SHARE = 0.5
UNSTATED_IDLE_S = 2.0
CONNECT_S = 0.25


class Pool:
    """Idle connections by address."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], collections.deque[call.Conn]] = {}

    async def take(
        self,
        address: tuple[str, int],
        connect_s: float = CONNECT_S,
        *,
        repeatable: bool = True,
    ) -> call.Conn:
        """Returns a connection that no other call uses.

        Args:
          address: Upstream to connect to.
          connect_s: Longest time to open a new one, in seconds.
          repeatable: Whether the call may be sent again if it is lost. One
            that may not goes on a new connection: a kept one may be gone
            without a sign, and what is sent on it lost for good.

        Raises:
          error.ConnectError: None could be opened.
        """
        now = asyncio.get_running_loop().time()
        kept = self._idle.get(address) if repeatable else None
        while kept:
            conn = kept.pop()
            if conn.is_usable and now - conn.idle_since_s < _bound_s(conn):
                return conn
            conn.abort()
        return await call.connect(address, connect_s)

    def give_back(self, conn: call.Conn) -> None:
        """Keeps a connection whose call has ended, or closes it."""
        kept = self._idle.setdefault(conn.address, collections.deque())
        if conn.is_usable and len(kept) < KEPT_PER_ADDRESS:
            kept.append(conn)
        else:
            conn.abort()

    def drop(self, address: tuple[str, int]) -> None:
        """Closes the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.abort()


def _bound_s(conn: call.Conn) -> float:
    stated = conn.idle_limit_s
    return UNSTATED_IDLE_S if stated is None else stated * SAFE_SHARE
