"""Pool of connections to upstreams."""

from __future__ import annotations

import asyncio
import collections

from quetzalsill_gateway.fleet import quota
from quetzalsill_gateway.http import call, error

__all__ = ['Pool']

MAX_IDLE_PER_ADDRESS = 16
# A server closes an idle connection after its stated keep-alive timeout, or
# sooner. A request sent while the close is in transit is lost, with unknown
# outcome. So an idle connection is reused only within this share of the
# timeout, or within a short default if the server states none.
IDLE_TIMEOUT_SHARE = 0.5
DEFAULT_IDLE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.25

Address = tuple[str, int]


class Pool:
    """Connections by address, both busy and idle."""

    def __init__(self, limits: call.Limits = call.DEFAULT_LIMITS) -> None:
        """Starts without connections.

        Args:
          limits: Limits on what upstreams send besides bodies.
        """
        self._limits = limits
        self._idle: dict[Address, collections.deque[call.Conn]] = {}
        # Counts connections that are open or being opened.
        self._count: collections.Counter[Address] = collections.Counter()

    def connections(self, address: Address) -> quota.Connections:
        """Returns the number of connections to an address."""
        idle_conns = self._idle.get(address, ())
        idle = sum(conn.is_usable for conn in idle_conns)
        return quota.Connections(self._count[address], idle)

    async def acquire(
        self,
        address: Address,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        *,
        repeatable: bool = True,
        max_connections: int | None = None,
    ) -> call.Conn:
        """Returns a connection for exclusive use by one call.

        Args:
          address: Address of the upstream.
          connect_timeout_s: Longest time to open a connection, in seconds.
          repeatable: Whether the call may be retried if it is lost. If not, it
            gets a new connection: an idle one may have ended unnoticed, and a
            request sent on it would be lost.
          max_connections: Maximum number of connections to the address; None
            for no limit. At the limit, an idle one is closed to open a new one.

        Raises:
          error.ConnectionLimitError: The limit is reached, and none is idle.
          error.ConnectError: No connection could be opened.
        """
        now = asyncio.get_running_loop().time()
        idle_conns = self._idle.get(address) if repeatable else None
        while idle_conns:
            conn = idle_conns.pop()
            if conn.is_usable and now - conn.idle_since_s < _max_idle_s(conn):
                return conn
            conn.abort()
        if (
            max_connections is not None
            and self._count[address] >= max_connections
        ):
            self._close_oldest_idle(address)
            if self._count[address] >= max_connections:
                detail = (
                    f'{address[0]}:{address[1]}: limit of {max_connections} '
                    'connections reached'
                )
                raise error.ConnectionLimitError(detail)
        return await self._open(address, connect_timeout_s)

    def release(self, conn: call.Conn, max_idle: int | None = None) -> None:
        """Returns a connection to the pool after its call, or closes it.

        Args:
          conn: The connection.
          max_idle: Maximum number of idle connections to its address; None for
            `MAX_IDLE_PER_ADDRESS`.
        """
        limit = MAX_IDLE_PER_ADDRESS if max_idle is None else max_idle
        idle_conns = self._idle.setdefault(conn.address, collections.deque())
        if conn.is_usable and len(idle_conns) < min(
            limit, MAX_IDLE_PER_ADDRESS
        ):
            idle_conns.append(conn)
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
                address, connect_timeout_s, self._adjust_count, self._limits
            )
        finally:
            self._adjust_count(address, -1)

    def _adjust_count(self, address: Address, delta: int) -> None:
        self._count[address] += delta
        if not self._count[address]:
            del self._count[address]

    def _close_oldest_idle(self, address: Address) -> None:
        """Closes the connection that has been idle longest, if any."""
        idle_conns = self._idle.get(address)
        while idle_conns:
            conn = idle_conns.popleft()
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
