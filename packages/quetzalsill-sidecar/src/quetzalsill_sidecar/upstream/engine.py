"""Client of a model engine: start, resume, cancel and load report."""

from __future__ import annotations

import dataclasses
import json
import urllib.parse
from typing import TYPE_CHECKING

from quetzalsill.net import deadline
from quetzalsill.wire import kind as wire_kind
from quetzalsill_sidecar import error
from quetzalsill_sidecar.upstream import http

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

    from quetzalsill.wire import message

__all__ = [
    'PATHS',
    'Engine',
    'EngineReport',
    'generation_body',
    'write_resume',
    'write_start',
]

PATHS = {
    wire_kind.COMPLETION: '/v1/completions',
    wire_kind.CHAT: '/v1/chat/completions',
}
MAX_RESPONSE_BYTES = 1_048_576
JSON_HEADERS: http.Headers = [(b'content-type', b'application/json')]


@dataclasses.dataclass(slots=True)
class EngineReport:
    """State that the engine reports, with a lag.

    Attributes:
      incarnation: Changes with each start of the engine.
      running: Requests in the batch.
      waiting: Requests queued inside the engine.
      used_tokens: KV cache in use.
      capacity_tokens: Total KV cache.
      preemptions: Requests preempted since its start.
      token_ms: Mean time between tokens, in milliseconds.
      leaving: Whether it refuses new work.
      models: Models loaded.
      adapters: Adapters loaded.
      role: Active role.
      fence: Highest fencing number it has seen.
    """

    incarnation: int = 0
    running: int = 0
    waiting: int = 0
    used_tokens: int = 0
    capacity_tokens: int = 0
    preemptions: int = 0
    token_ms: float = 0.0
    leaving: bool = False
    models: list[str] = dataclasses.field(default_factory=list)
    adapters: list[str] = dataclasses.field(default_factory=list)
    role: str = ''
    fence: int = 0


class Engine:
    """Exchanges with one engine, each on its own connection."""

    def __init__(
        self,
        origin: http.Origin,
        connect_timeout_s: float,
        response_timeout_s: float,
    ) -> None:
        """Makes a client of an engine.

        Args:
          origin: Address at which it listens.
          connect_timeout_s: Timeout for opening a connection, in seconds.
          response_timeout_s: Timeout for a short exchange (cancel, report), in
            seconds.
        """
        self._origin = origin
        self._connect_timeout_s = connect_timeout_s
        self._response_timeout_s = response_timeout_s

    def exchange(self) -> AbstractAsyncContextManager[http.Connection]:
        """Returns a context manager that opens a connection for a stream.

        Raises:
          UpstreamConnectError: nothing was written.
        """
        return http.exchange(self._origin, self._connect_timeout_s)

    async def cancel(self, attempt: str) -> str:
        """Cancels the work, or forbids it from ever starting.

        Returns:
          `cancelled`, `forbidden` or `finished`.

        Raises:
          UpstreamConnectError: not reached.
          ResponseLostError: no complete response was received.
          UpstreamStatusError: the engine refused.
        """
        response = await self._request(
            'POST', f'{_request_path(attempt)}/cancel'
        )
        return str(response.get('state', ''))

    async def report(self) -> EngineReport:
        """Fetches the load report; raises as `cancel` does."""
        response = await self._request('GET', '/load')
        known = {field.name for field in dataclasses.fields(EngineReport)}
        return EngineReport(**{k: v for k, v in response.items() if k in known})

    async def send_command(
        self,
        kind: str,
        name: str,
        fence: int,
        timeout_s: float,
        check: Callable[[], None],
    ) -> None:
        """Sends a command and waits until it is executed.

        Args:
          kind: Such as `load_model`.
          name: Model, adapter or role.
          fence: Fencing number.
          timeout_s: Timeout of the whole exchange, in seconds.
          check: Called once the connection is open, right before the command
            is written; the command is not sent if it raises.

        Raises:
          ExchangeError: As of `cancel`; or what `check` raises.
        """
        body = json.dumps({'kind': kind, 'name': name, 'fence': fence})
        await self._request('POST', '/orders', body.encode(), timeout_s, check)

    async def _request(
        self,
        method: str,
        target: str,
        content: bytes = b'',
        timeout_s: float = 0.0,
        check: Callable[[], None] = lambda: None,
    ) -> dict[str, object]:
        headers = JSON_HEADERS if content else []
        try:
            async with (
                deadline.timeout(timeout_s or self._response_timeout_s),
                http.exchange(self._origin, self._connect_timeout_s) as conn,
            ):
                check()
                await conn.send_request(method, target, headers, content)
                head = await conn.read_head()
                body = await conn.read_all(MAX_RESPONSE_BYTES)
        except TimeoutError as exc:
            raise error.ResponseLostError(
                f'{target}: no answer in time'
            ) from exc
        if head.status != 200:
            raise error.UpstreamStatusError(head.status, body)
        return _parse_object(body)


async def write_start(conn: http.Connection, kind: str, body: bytes) -> None:
    """Writes the request that starts a generation.

    Raises:
      ResponseLostError: the connection broke; the engine may have the request.
    """
    await conn.send_request('POST', PATHS[kind], JSON_HEADERS, body)


async def write_resume(conn: http.Connection, attempt: str, first: int) -> None:
    """Writes the request for the events from number `first` on.

    Raises:
      ResponseLostError: the connection broke.
    """
    target = f'{_request_path(attempt)}/stream?from={first}'
    await conn.send_request('GET', target, [])


def generation_body(dispatch: message.Dispatch, priority: int) -> bytes:
    """Returns the caller's JSON with the fields that the engine needs.

    Raises:
      RequestMalformedError: the payload is not a JSON object.
    """
    try:
        request = json.loads(dispatch.payload)
    except ValueError as exc:
        raise error.RequestMalformedError(f'payload: {exc}') from exc
    if not isinstance(request, dict):
        raise error.RequestMalformedError('payload is no JSON object')
    request['model'] = dispatch.model
    request['stream'] = True
    request['request_id'] = dispatch.attempt
    request['priority'] = priority
    request['max_tokens'] = dispatch.max_tokens
    return json.dumps(request).encode()


def _request_path(attempt: str) -> str:
    return f'/v1/requests/{urllib.parse.quote(attempt, safe="")}'


def _parse_object(body: bytes) -> dict[str, object]:
    try:
        response = json.loads(body)
    except ValueError as exc:
        raise error.ResponseLostError(f'answer is no JSON: {exc}') from exc
    if not isinstance(response, dict):
        raise error.ResponseLostError('answer is no JSON object')
    return response
