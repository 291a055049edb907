"""HTTP exchanges with the platform, with timeouts and typed errors."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import urllib.parse
import weakref
from typing import TYPE_CHECKING, Any

from blacksheep import contents, messages, url

from quetzalsill.net import deadline
from quetzalsill.net import error as net_error
from quetzalsill.platform import error, health

if TYPE_CHECKING:
    from quetzalsill.net import client, connection

__all__ = ['Exchange', 'Reply', 'quote']

MAX_OPEN_CALLS = 64
MAX_RETRY_WAIT_S = 0.1
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
UNAVAILABLE_STATUSES = frozenset((429, 503))
AMBIGUOUS_STATUSES = frozenset((500, 502, 504))


@dataclasses.dataclass(slots=True)
class Reply:
    """Status and complete body of a response."""

    status: int
    body: bytes

    def json(self, status: int) -> Any:
        """Parses the body of a response that must have this status.

        Raises:
          PlatformProtocolError: The status differs, or the body is not JSON.
        """
        if self.status != status:
            raise error.PlatformProtocolError(f'status {self.status}')
        try:
            return json.loads(self.body)
        except ValueError as exc:
            raise error.PlatformProtocolError('answer is not JSON') from exc


def quote(name: str) -> str:
    """Percent-encodes a name as one path segment."""
    return urllib.parse.quote(name, safe='')


class Exchange:
    """Calls one base URL of the platform.

    An attempt takes at most `timeout_s`, including the response body. A read
    gets a second attempt after a random delay unless the store is known to be
    down; a write is attempted once. At most `MAX_OPEN_CALLS` calls are open at
    a time; further ones wait up to `timeout_s` before each attempt. This wait
    does not count towards the attempt: it would shorten the time for the
    response, and a write that times out after it was sent has an unknown
    outcome.

    Attributes:
      health: Records the outcome of every attempt.
    """

    def __init__(
        self,
        session: client.Session,
        timeout_s: float,
        store_health: health.StoreHealth,
    ) -> None:
        self.health = store_health
        self._session = session
        self._timeout_s = timeout_s
        self._slots = asyncio.Semaphore(MAX_OPEN_CALLS)
        self._generation = 0
        self._generations: weakref.WeakKeyDictionary[
            connection.Connection, int
        ] = weakref.WeakKeyDictionary()

    async def read(self, path: str) -> Reply:
        """Sends a GET.

        Raises:
          PlatformUnavailableError: No attempt was answered.
        """
        try:
            return await self._attempt('GET', path, None, ())
        except error.PlatformUnavailableError:
            if not self.health.up:
                raise
        await asyncio.sleep(random.uniform(0, MAX_RETRY_WAIT_S))
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
          PlatformUnavailableError: It certainly had no effect.
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
            self.health.record_failure()
            raise
        self.health.record_success()
        return reply

    async def _send(self, req: messages.Request) -> Reply:
        try:
            async with deadline.timeout(self._timeout_s):
                await self._slots.acquire()
        except TimeoutError as exc:
            raise error.PlatformUnavailableError('too many calls') from exc
        try:
            return await self._exchange(req)
        finally:
            self._slots.release()

    async def _exchange(self, req: messages.Request) -> Reply:
        sent = False
        try:
            async with deadline.timeout(self._timeout_s):
                conn = await self._acquire_connection(req.url)
                sent = True
                reply = await _receive_reply(conn, req)
        except TimeoutError as exc:
            self._generation += sent
            detail = f'no answer within {self._timeout_s} s'
            raise _failure_class(req, sent)(detail) from exc
        except net_error.NetError as exc:
            raise _failure_class(req, sent)(exc.detail) from exc
        self._generations[conn] = self._generation
        if reply.status in AMBIGUOUS_STATUSES:
            raise _failure_class(req, sent)(f'status {reply.status}')
        if reply.status in UNAVAILABLE_STATUSES:
            raise error.PlatformUnavailableError(f'status {reply.status}')
        return reply

    async def _acquire_connection(
        self, target: url.URL
    ) -> connection.Connection:
        """Takes a connection that is not suspected to be dead.

        A pooled connection may stop responding permanently while new ones
        work, and its next call times out. A failure that affects one
        connection usually affects the others of the pool as well, and each of
        them would cost another call its timeout. Therefore a timeout starts a
        new generation, and connections of an older generation are not reused
        unless a response has arrived on them since. The pool returns each idle
        connection once and then opens new ones, so the loop terminates.
        """
        while True:
            conn = await self._session.get_connection(target)
            generation = self._generations.setdefault(conn, self._generation)
            if generation == self._generation:
                return conn
            conn.abort()


def _failure_class(
    req: messages.Request, sent: bool
) -> type[error.PlatformUnavailableError] | type[error.PlatformAnswerLostError]:
    if sent and req.method != 'GET':
        return error.PlatformAnswerLostError
    return error.PlatformUnavailableError


async def _receive_reply(
    conn: connection.Connection, req: messages.Request
) -> Reply:
    response = await conn.send(req)
    length = response.get_first_header(b'content-length')
    if length and int(length) > MAX_RESPONSE_BYTES:
        conn.abort()
        raise net_error.ResponseLostError(f'answer of {int(length)} bytes')
    return Reply(response.status, await response.read() or b'')
