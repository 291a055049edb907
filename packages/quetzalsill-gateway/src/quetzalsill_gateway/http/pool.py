"""Connections to upstreams that are kept between calls."""

from __future__ import annotations

import asyncio
import collections

from quetzalsill_gateway.fleet import quota
from quetzalsill_gateway.http import call, error

__all__ = ['Pool']

KEPT_PER_ADDRESS = 16
# A server closes an idle connection after its stated time, or sooner. Whatever
# is sent while its close is on the way is lost with its outcome unknown, so a
# kept connection is used well within that time, and only for a short while
# where the server states none.
SAFE_SHARE = 0.5
UNSTATED_IDLE_S = 2.0
CONNECT_S = 0.25

Address = tuple[str, int]


class Pool:
    """Connections by address: those that carry a call, and idle ones."""

    def __init__(self) -> None:
        self._idle: dict[Address, collections.deque[call.Conn]] = {}
        # Open ones, and those that are being opened.
        self._count: collections.Counter[Address] = collections.Counter()

    def connections(self, address: Address) -> quota.Connections:
        """Returns how many there are to an address."""
        kept = self._idle.get(address, ())
        idle = sum(conn.is_usable for conn in kept)
        return quota.Connections(self._count[address], idle)

    async def take(
        self,
        address: Address,
        connect_s: float = CONNECT_S,
        *,
        repeatable: bool = True,
        most: int | None = None,
    ) -> call.Conn:
        """Returns a connection that no other call uses.

        Args:
          address: Upstream to connect to.
          connect_s: Longest time to open a new one, in seconds.
          repeatable: Whether the call may be sent again if it is lost. One
            that may not goes on a new connection: a kept one may be gone
            without a sign, and what is sent on it lost for good.
          most: Connections that there may be to the address; None for any
            number. An idle one is closed for a new one.

        Raises:
          error.NoPlaceError: All that there may be carry a call.
          error.ConnectError: None could be opened.
        """
        now = asyncio.get_running_loop().time()
        kept = self._idle.get(address) if repeatable else None
        while kept:
            conn = kept.pop()
            if conn.is_usable and now - conn.idle_since_s < _bound_s(conn):
                return conn
            conn.abort()
        if most is not None and self._count[address] >= most:
            self._close_idle(address)
            if self._count[address] >= most:
                detail = f'{address[0]}:{address[1]}: {most} open'
                raise error.NoPlaceError(detail)
        return await self._open(address, connect_s)

    def give_back(self, conn: call.Conn, most_idle: int | None = None) -> None:
        """Keeps a connection whose call has ended, or closes it.

        Args:
          conn: The connection.
          most_idle: Idle ones that may be kept to its address; None for the
            usual number.
        """
        most = KEPT_PER_ADDRESS if most_idle is None else most_idle
        kept = self._idle.setdefault(conn.address, collections.deque())
        if conn.is_usable and len(kept) < min(most, KEPT_PER_ADDRESS):
            kept.append(conn)
        else:
            conn.abort()

    def drop(self, address: Address) -> None:
        """Closes the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.abort()

    async def _open(self, address: Address, connect_s: float) -> call.Conn:
        self._add(address, 1)
        try:
            return await call.connect(address, connect_s, self._add)
        finally:
            self._add(address, -1)

    def _add(self, address: Address, number: int) -> None:
        self._count[address] += number
        if not self._count[address]:
            del self._count[address]

    def _close_idle(self, address: Address) -> None:
        """Closes the connection that rested longest, if there is one."""
        kept = self._idle.get(address)
        while kept:
            conn = kept.popleft()
            was_usable = conn.is_usable
            conn.abort()
            if was_usable:
                return


def _bound_s(conn: call.Conn) -> float:
    stated = conn.idle_limit_s
    return UNSTATED_IDLE_S if stated is None else stated * SAFE_SHARE
