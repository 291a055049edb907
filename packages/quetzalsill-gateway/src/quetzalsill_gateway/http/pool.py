"""Connections to upstreams that are kept between calls."""

from __future__ import annotations

import asyncio
import collections

from quetzalsill_gateway.fleet import quota
from quetzalsill_gateway.http import call, error

__all__ = ['Pool']

MAX_IDLE_PER_ADDRESS = 16
# A server closes an idle connection after its stated time, or sooner. Whatever
# is sent while its close is on the way is lost with its outcome unknown, so a
# kept connection is used well within that time, and only for a short while
# where the server states none.
IDLE_TIMEOUT_SHARE = 0.5
DEFAULT_IDLE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.25

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

    async def acquire(
        self,
        address: Address,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        *,
        repeatable: bool = True,
        max_connections: int | None = None,
    ) -> call.Conn:
        """Returns a connection that no other call uses.

        Args:
          address: Upstream to connect to.
          connect_timeout_s: Longest time to open a new one, in seconds.
          repeatable: Whether the call may be sent again if it is lost. One
            that may not goes on a new connection: a kept one may be gone
            without a sign, and what is sent on it lost for good.
          max_connections: Connections that there may be to the address; None
            for any number. An idle one is closed for a new one.

        Raises:
          error.ConnectionLimitError: All that there may be carry a call.
          error.ConnectError: None could be opened.
        """
        now = asyncio.get_running_loop().time()
        kept = self._idle.get(address) if repeatable else None
        while kept:
            conn = kept.pop()
            if conn.is_usable and now - conn.idle_since_s < _max_idle_s(conn):
                return conn
            conn.abort()
        if (
            max_connections is not None
            and self._count[address] >= max_connections
        ):
            self._close_oldest_idle(address)
            if self._count[address] >= max_connections:
                detail = f'{address[0]}:{address[1]}: {max_connections} open'
                raise error.ConnectionLimitError(detail)
        return await self._open(address, connect_timeout_s)

    def release(self, conn: call.Conn, max_idle: int | None = None) -> None:
        """Keeps a connection whose call has ended, or closes it.

        Args:
          conn: The connection.
          max_idle: Idle ones that may be kept to its address; None for the
            usual number.
        """
        limit = MAX_IDLE_PER_ADDRESS if max_idle is None else max_idle
        kept = self._idle.setdefault(conn.address, collections.deque())
        if conn.is_usable and len(kept) < min(limit, MAX_IDLE_PER_ADDRESS):
            kept.append(conn)
        else:
            conn.abort()

    def close_idle(self, address: Address) -> None:
        """Closes the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.abort()

    async def _open(
        self, address: Address, connect_timeout_s: float
    ) -> call.Conn:
        self._adjust_count(address, 1)
        try:
            return await call.connect(
                address, connect_timeout_s, self._adjust_count
            )
        finally:
            self._adjust_count(address, -1)

    def _adjust_count(self, address: Address, delta: int) -> None:
        self._count[address] += delta
        if not self._count[address]:
            del self._count[address]

    def _close_oldest_idle(self, address: Address) -> None:
        """Closes the connection that rested longest, if there is one."""
        kept = self._idle.get(address)
        while kept:
            conn = kept.popleft()
            was_usable = conn.is_usable
            conn.abort()
            if was_usable:
                return


def _max_idle_s(conn: call.Conn) -> float:
    stated = conn.idle_limit_s
    return (
        DEFAULT_IDLE_TIMEOUT_S
        if stated is None
        else stated * IDLE_TIMEOUT_SHARE
    )
