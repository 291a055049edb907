"""Small calls made by the gateway itself, such as control calls to engines."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import TYPE_CHECKING, Any

from quetzalsill.net import deadline
from quetzalsill_gateway.http import error, message

if TYPE_CHECKING:
    from quetzalsill_gateway.http import pool

__all__ = ['Response', 'fetch']

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# A large response takes long on a slow link, so once its body has begun it is
# abandoned only after this time without progress.
BODY_STALL_TIMEOUT_S = 0.6
# In this time, a body of the largest size takes 1.6 MB/s.
MAX_BODY_S = 10.0


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response.

    Attributes:
      status: Status code.
      headers: Headers, with names in lower case.
      body: The complete body.
    """

    status: int
    headers: message.Headers
    body: bytes

    def json(self) -> Any:
        """Returns the body as JSON.

        Raises:
          error.MalformedResponseError: It is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as exc:
            raise error.MalformedResponseError(
                f'response is not JSON: {exc}'
            ) from exc


async def fetch(
    conns: pool.Pool,
    address: tuple[str, int],
    method: str,
    target: str,
    *,
    body: Any = None,
    timeout_s: float,
    connect_timeout_s: float | None = None,
) -> Response:
    """Makes one call and returns its complete response.

    Args:
      conns: Connection pool.
      address: IP address and port.
      method: Method in upper case.
      target: Path and query.
      body: Sent as JSON unless it is None.
      timeout_s: Longest time to the start of the response body, in seconds; the
        body may take up to `MAX_BODY_S`.
      connect_timeout_s: Longest time to open a connection, in seconds; None for
        `timeout_s`.

    Raises:
      error.CallError: There is no complete response.
    """
    lines = [f'{method} {target} HTTP/1.1', f'host: {address[0]}:{address[1]}']
    data = b'' if body is None else json.dumps(body).encode()
    if body is not None:
        lines.append('content-type: application/json')
        lines.append(f'content-length: {len(data)}')
    head = '\r\n'.join([*lines, '\r\n']).encode()
    conn = None
    try:
        async with deadline.timeout(timeout_s) as timeout:
            conn = await conns.acquire(address, connect_timeout_s or timeout_s)
            conn.send(head, [data])
            response_head = await conn.head()
            received = bytearray()
            latest_s = max(timeout.when(), _now() + MAX_BODY_S)
            while piece := await conn.read():
                received += piece
                stalled_s = _now() + BODY_STALL_TIMEOUT_S
                timeout.reschedule(
                    min(max(timeout.when(), stalled_s), latest_s)
                )
                if len(received) > MAX_RESPONSE_BYTES:
                    raise error.MalformedResponseError(
                        'the response is too large'
                    )
            return Response(
                response_head.status, response_head.headers, bytes(received)
            )
    except TimeoutError as exc:
        raise error.ResponseTimeoutError(f'{address[0]}:{address[1]}') from exc
    finally:
        if conn is not None:
            conns.release(conn)


def _now() -> float:
    return asyncio.get_running_loop().time()
