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

# Shorter than the keep-alive timeout of every server in use, so that an idle
# connection is closed here before the server closes it during a request.
IDLE_TIMEOUT_S = 3.0
MAX_IDLE = 64


class Session(library_session.ClientSession):
    """Client that delivers each request at most once.

    The library's session retries a request up to three times when the
    connection closes before a response, although the first attempt may have
    run by then: a request that is not idempotent would take effect twice. No
    code path here retries; the type of the error tells the caller whether it
    may.
    """

    async def get_connection(
        self, url: blacksheep.URL
    ) -> connection.Connection:
        """Returns an idle connection, or opens a new one.

        Raises:
          ConnectFailedError: If it cannot be opened; nothing was sent.
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
                f'no response within {self.request_timeout} s'
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
    """Creates a client that does not retry, redirect or store cookies.

    Its requests raise `net.error.ConnectFailedError` or
    `RequestInvalidError` if nothing was sent, and `ResponseLostError` or its
    `ResponseTimeoutError` if the request may have run. A body that is longer
    than 64 KiB or of unknown length is read while `response.stream()` is
    iterated; closing that iterator, or dropping the response, closes the
    connection. The library escapes a URL given as `str`; pass `bytes` if it
    is already escaped.

    Args:
      base_url: URL that relative ones are resolved against.
      timeout_s: Longest wait for the head of a response, and for all of a
        short one; None for no timeout.
      tls: Certificates for `https` URLs; the system's authorities if None.
      read_timeout_s: Longest wait between two chunks of a body; None for no
        timeout.
      connect_timeout_s: Longest wait for a connection.
      idle_timeout_s: How long an idle connection may be reused; 0 opens a
        new one for each request.
      max_idle: Idle connections kept for each address.
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
