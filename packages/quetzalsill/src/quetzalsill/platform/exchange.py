"""One bounded HTTP exchange with the platform, its failures typed."""

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

OPEN_CALLS = 64
RETRY_JITTER_S = 0.1
LARGEST_ANSWER = 64 * 1024 * 1024
UNAVAILABLE = frozenset((429, 503))
AMBIGUOUS = frozenset((500, 502, 504))


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


class Exchange:
    """Calls one base URL of the platform.

    An attempt lasts `timeout_s` at most, its body included. A read has a
    second attempt after a jittered wait unless the store is known to be down;
    a write has none. At most `OPEN_CALLS` calls are open; others wait for one
    to end, `timeout_s` at most before each attempt. That wait is not part of
    the attempt: cut short by it, a write would be sent only to be in doubt.

    Attributes:
      health: Told of the outcome of every attempt.
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
        self._slots = asyncio.Semaphore(OPEN_CALLS)
        self._generation = 0
        self._generations: weakref.WeakKeyDictionary[
            connection.Connection, int
        ] = weakref.WeakKeyDictionary()

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
                conn = await self._connection(req.url)
                sent = True
                reply = await _answer(conn, req)
        except TimeoutError as exc:
            self._generation += sent
            detail = f'no answer within {self._timeout_s} s'
            raise _failure(req, sent)(detail) from exc
        except net_error.NetError as exc:
            raise _failure(req, sent)(exc.detail) from exc
        self._generations[conn] = self._generation
        if reply.status in AMBIGUOUS:
            raise _failure(req, sent)(f'status {reply.status}')
        if reply.status in UNAVAILABLE:
            raise error.PlatformUnavailableError(f'status {reply.status}')
        return reply

    async def _connection(self, target: url.URL) -> connection.Connection:
        """Takes a connection that no silence has made suspect.

        A connection may go silent for good while new ones work: its user sees
        no answer within the timeout. What lost track of one has mostly lost
        its siblings too, and each would cost another user a timeout. So one
        timeout starts a new generation, and those of an older one are not
        used again unless an answer came on them since. The pool gives each
        idle connection once and then dials, so the loop ends.
        """
        while True:
            conn = await self._session.get_connection(target)
            generation = self._generations.setdefault(conn, self._generation)
            if generation == self._generation:
                return conn
            conn.abort()


def _failure(
    req: messages.Request, sent: bool
) -> type[error.PlatformUnavailableError] | type[error.PlatformAnswerLostError]:
    if sent and req.method != 'GET':
        return error.PlatformAnswerLostError
    return error.PlatformUnavailableError


async def _answer(conn: connection.Connection, req: messages.Request) -> Reply:
    response = await conn.send(req)
    length = response.get_first_header(b'content-length')
    if length and int(length) > LARGEST_ANSWER:
        conn.abort()
        raise net_error.ResponseLostError(f'answer of {int(length)} bytes')
    return Reply(response.status, await response.read() or b'')
