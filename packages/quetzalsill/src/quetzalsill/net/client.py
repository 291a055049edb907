"""HTTP client that never sends a request twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from blacksheep.client import session as library_session

from quetzalsill.net import deadline, error, pool
from quetzalsill.settings import section

if TYPE_CHECKING:
    import blacksheep

    from quetzalsill.net import connection

__all__ = ['Session', 'session']

CONNECT_TIMEOUT_S = 2.0

# Below the keep-alive bound of any server in use, so that a connection is
# dropped here before the server closes it under a request.
IDLE_TIMEOUT_S = 3.0
MAX_IDLE = 64


class Session(library_session.ClientSession):
    """Client whose requests reach the other end once or not at all.

    The library's session sends a request again, up to three times, when the
    connection closes before an answer. The first may have run by then, and
    an order would be carried out twice. Here no code path sends again: the
    caller learns from the type of the error whether it may.
    """

    async def get_connection(
        self, url: blacksheep.URL
    ) -> connection.Connection:
        """Returns a connection that was idle, or a new one.

        Raises:
          ConnectFailedError: If none came about; nothing was sent.
        """
        target = self.pools.get_pool(url.schema, url.host, url.port)
        try:
            async with deadline.timeout(self.connection_timeout):
                return await target.get_connection()
        except OSError as exc:
            raise error.ConnectFailedError(
                f'{target.host}:{target.port}: {str(exc) or type(exc).__name__}'
            ) from exc

    async def _send_using_connection(
        self, request: blacksheep.Request, attempt: int = 1
    ) -> blacksheep.Response:
        conn = await self.get_connection(request.url)
        try:
            async with deadline.timeout(self.request_timeout):
                return await conn.send(request)
        except TimeoutError as exc:
            conn.report_timeout()
            raise error.ResponseTimeoutError(
                f'no answer within {self.request_timeout} s'
            ) from exc


def session(
    base_url: str = '',
    timeout_s: float | None = 10.0,
    tls: section.Tls | None = None,
    *,
    read_timeout_s: float | None = None,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
    max_idle: int = MAX_IDLE,
) -> Session:
    """Makes a client without resends, redirects and cookies.

    Its requests raise `net.error.ConnectFailedError` or
    `RequestInvalidError` if nothing was sent, and `ResponseLostError` or its
    `ResponseTimeoutError` if the request may have run. A body that is longer
    than 64 KiB or of unknown length is read as `response.stream()` is
    iterated; closing that iterator, or dropping the response, closes the
    connection. A URL given as `str` is escaped by the library; give `bytes`
    if it is escaped already.

    Args:
      base_url: URL before relative ones.
      timeout_s: Longest wait for the head of an answer, and for the whole of
        a short one; None for no bound.
      tls: Certificates for `https` URLs; the system's authorities if None.
      read_timeout_s: Longest wait between two pieces of a body; None for none.
      connect_timeout_s: Longest wait for a connection.
      idle_timeout_s: How long an idle connection may be used again; 0 opens
        one for each request.
      max_idle: Idle connections kept for one address.
    """
    pools = pool.Pools(
        tls or section.Tls(), read_timeout_s, idle_timeout_s, max_idle
    )
    new_session = Session(
        base_url=base_url or None,
        pools=pools,
        follow_redirects=False,
        connection_timeout=connect_timeout_s,
        request_timeout=timeout_s,
        cookie_jar=False,
        http2=False,
        max_connection_retries=0,
    )
    new_session.owns_pools = True
    return new_session
