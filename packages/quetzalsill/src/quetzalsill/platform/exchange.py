"""One bounded HTTP exchange with the platform, its failures typed."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import random
import urllib.parse
from typing import TYPE_CHECKING, Any

import h11
from blacksheep import client, contents, messages, url
from blacksheep.client import connection, pool

from quetzalsill.platform import error, health

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ['Exchange', 'Reply', 'open_session', 'quote']

OPEN_CALLS = 64
RETRY_JITTER_S = 0.1
IDLE_S = 15.0
LARGEST_ANSWER = 64 * 1024 * 1024
UNAVAILABLE = frozenset((429, 503))
AMBIGUOUS = frozenset((500, 502, 504))
LINK_ERRORS = (OSError, connection.ConnectionException, h11.ProtocolError)


@dataclasses.dataclass(slots=True)
class Reply:
    """Status and whole body of an answer."""

    status: int
    body: bytes

    def json(self, status: int) -> Any:
        """Parses the body of an answer with the status expected.

        Raises:
          PlatformProtocolError: Another status, or the body is not JSON.
        """
        if self.status != status:
            raise error.PlatformProtocolError(f'status {self.status}')
        try:
            return json.loads(self.body)
        except ValueError as exc:
            raise error.PlatformProtocolError('answer is not JSON') from exc


def quote(name: str) -> str:
    """Makes a name one segment of a path."""
    return urllib.parse.quote(name, safe='')


def open_session(base_url: str, timeout_s: float) -> client.ClientSession:
    """Opens a session that sends each request once and follows nothing."""
    return client.ClientSession(
        base_url=base_url,
        follow_redirects=False,
        connection_timeout=timeout_s,
        request_timeout=timeout_s,
        http2=False,
        max_connection_retries=0,
        idle_timeout=IDLE_S,
    )


class Exchange:
    """Calls one base URL of the platform.

    An attempt lasts `timeout_s` at most, its body included. A read has a
    second attempt after a jittered wait unless the store is known to be down;
    a write has none. At most `OPEN_CALLS` calls are open; others wait within
    their own timeout.

    Attributes:
      health: Told of the outcome of every attempt.
    """

    def __init__(
        self,
        session: client.ClientSession,
        timeout_s: float,
        store_health: health.StoreHealth,
    ) -> None:
        self.health = store_health
        self._session = session
        self._timeout_s = timeout_s
        self._slots = asyncio.Semaphore(OPEN_CALLS)
        self._closing: set[asyncio.Task[None]] = set()

    async def read(self, path: str) -> Reply:
        """Sends a GET.

        Raises:
          PlatformUnavailableError: Neither attempt was answered.
        """
        try:
            return await self._attempt('GET', path, None, ())
        except error.PlatformUnavailableError:
            if not self.health.up:
                raise
        await asyncio.sleep(random.uniform(0, RETRY_JITTER_S))
        return await self._attempt('GET', path, None, ())

    async def write(
        self,
        method: str,
        path: str,
        content: contents.Content | None = None,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> Reply:
        """Sends a write once.

        Raises:
          PlatformUnavailableError: It has surely taken no effect.
          PlatformAnswerLostError: It may have taken effect.
        """
        return await self._attempt(method, path, content, headers)

    async def _attempt(
        self,
        method: str,
        path: str,
        content: contents.Content | None,
        headers: tuple[tuple[bytes, bytes], ...],
    ) -> Reply:
        req = messages.Request(
            method, self._session.get_url(path.encode()), list(headers)
        )
        self._session.merge_default_headers(req)
        if content is not None:
            req.content = content
        try:
            reply = await self._send(req)
        except error.PlatformError:
            self.health.failed()
            raise
        self.health.succeeded()
        return reply

    async def _send(self, req: messages.Request) -> Reply:
        sent = False
        lost: type[error.PlatformError] = error.PlatformUnavailableError
        try:
            async with (
                asyncio.timeout(self._timeout_s),
                self._slots,
                self._connection(req.url) as conn,
            ):
                sent = True
                if req.method != 'GET':
                    lost = error.PlatformAnswerLostError
                reply = await _answer(conn, req)
        except TimeoutError as exc:
            if sent:
                self._dial_anew()
            raise lost(f'no answer within {self._timeout_s} s') from exc
        except LINK_ERRORS as exc:
            raise lost(f'{type(exc).__name__}: {exc}') from exc
        if reply.status in AMBIGUOUS:
            raise lost(f'status {reply.status}')
        if reply.status in UNAVAILABLE:
            raise error.PlatformUnavailableError(f'status {reply.status}')
        return reply

    @contextlib.asynccontextmanager
    async def _connection(
        self, target: url.URL
    ) -> AsyncIterator[connection.HTTP11Connection]:
        conn = await self._session.get_connection(target)
        # The pool hands out kept-alive connections that the other end closed
        # while they were idle; a write on one would count as lost although it
        # never left. Each look takes one out of the pool, so this ends.
        while not _usable(conn):
            conn.writer.transport.abort()
            conn = await self._session.get_connection(target)
        try:
            yield conn
        except BaseException:
            # An exchange broken off leaves the rest of its answer to come:
            # the connection must never carry another request.
            conn.writer.transport.abort()
            raise

    def _dial_anew(self) -> None:
        """Gives up all idle connections after one of them went silent.

        What lost track of one connection has mostly lost its siblings too;
        each would cost its user a timeout. New ones are dialled instead.
        """
        old = self._session.pools
        self._session.pools = pool.ConnectionPools(
            http2=False, idle_timeout=IDLE_S
        )
        task = asyncio.create_task(old.dispose())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


def _usable(conn: connection.HTTP11Connection) -> bool:
    ended = conn.reader.at_eof() or conn.writer.transport.is_closing()
    return conn.is_alive() and not ended


async def _answer(
    conn: connection.HTTP11Connection, req: messages.Request
) -> Reply:
    response = await conn.send(req)
    length = response.get_first_header(b'content-length')
    if length and int(length) > LARGEST_ANSWER:
        raise connection.ConnectionException(f'answer of {int(length)} bytes')
    content = response.content
    body = await content.read()
    # blacksheep's read() returns a cut body as if it were whole and only
    # notes the failure here.
    if content.exc is not None:
        raise connection.ConnectionException('answer cut') from content.exc
    return Reply(response.status, body)
