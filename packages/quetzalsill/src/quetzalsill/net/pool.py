"""Connection pools of the HTTP client."""

from __future__ import annotations

import time
import weakref
from typing import TYPE_CHECKING

from blacksheep.client import pool as library_pool

from quetzalsill.net import connection, tls

if TYPE_CHECKING:
    import ssl

    from quetzalsill.settings import section

__all__ = ['Pool', 'Pools']

HTTP_PORT = 80
HTTPS_PORT = 443


class Pool(library_pool.ConnectionPool):
    """Pool of connections to one address."""

    def __init__(
        self, scheme: bytes, host: bytes, port: int, pools: Pools
    ) -> None:
        super().__init__(
            scheme,
            host,
            port,
            max_size=pools.max_idle,
            http2=False,
            idle_timeout=pools.idle_timeout,
        )
        self._pools = pools
        self._open: weakref.WeakSet[connection.Connection] = weakref.WeakSet()

    async def create_connection(self) -> connection.Connection:
        """Opens a connection."""
        conn = connection.Connection(
            self,
            self._ssl_context(),
            self._pools.read_timeout_s,
            self.try_return_connection,
            self.close_idle,
        )
        await conn.connect()
        self._open.add(conn)
        return conn

    def try_return_connection(self, conn: connection.Connection) -> None:
        """Returns a connection to the pool; closes it if the pool is full."""
        if self.disposed or self._idle_connections.full():
            conn.abort()
            return
        conn.last_used = time.time()
        self._idle_connections.put_nowait(conn)

    def close_idle(self) -> None:
        """Closes the idle connections after one of them timed out.

        A middlebox that lost its state of one connection has usually lost
        that of the others too, and each would cost its request a timeout.
        """
        while not self._idle_connections.empty():
            self._idle_connections.get_nowait().abort()

    async def dispose(self) -> None:
        """Closes every connection, including those in use."""
        self.disposed = True
        for conn in list(self._open):
            conn.abort()

    def _get_connection(self) -> connection.Connection:
        while True:
            conn = self._idle_connections.get_nowait()
            idle_s = time.time() - conn.last_used
            if conn.is_open and 0 <= idle_s < self.idle_timeout:
                return conn
            conn.abort()

    def _ssl_context(self) -> ssl.SSLContext | None:
        if self.ssl is None:
            return None
        return tls.client_context(self._pools.tls) or self.ssl


class Pools(library_pool.ConnectionPools):
    """Connection pools by address.

    Attributes:
      tls: Certificates for `https` addresses.
      read_timeout_s: Longest wait between two chunks of a body; None for no
        timeout.
      max_idle: Idle connections kept for each address.
    """

    def __init__(
        self,
        tls: section.Tls,
        read_timeout_s: float | None,
        idle_timeout_s: float,
        max_idle: int,
    ) -> None:
        super().__init__(http2=False, idle_timeout=idle_timeout_s)
        self.tls = tls
        self.read_timeout_s = read_timeout_s
        self.max_idle = max_idle

    def get_pool(
        self, scheme: bytes, host: bytes, port: int, ssl: object = None
    ) -> Pool:
        """Returns the pool of an address, creating it if needed."""
        port = port or (HTTPS_PORT if scheme == b'https' else HTTP_PORT)
        address = (scheme, host, port)
        if address not in self._pools:
            self._pools[address] = Pool(scheme, host, port, self)
        return self._pools[address]
