"""Sends one HTTP request to one router."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import TYPE_CHECKING, Any
from urllib import parse as url_parse

import blacksheep

from quetzalsill.error import base
from quetzalsill.net import error as net_error

if TYPE_CHECKING:
    from quetzalsill.net import client

__all__ = [
    'Call',
    'ExchangeError',
    'NotSentError',
    'Response',
    'ResponseLostError',
    'path',
    'send',
]

_PREFIX = '/admin/v1'
_JSON = b'application/json'


class ExchangeError(base.QuetzalsillError):
    """No complete response was received from a router."""

    code = 'no_answer'


class NotSentError(ExchangeError):
    """The connection failed, so the router did not receive the call."""

    code = 'not_sent'


class ResponseLostError(ExchangeError):
    """The call may have been sent, but no complete response arrived."""

    code = 'answer_lost'


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """A call of the administration API.

    Attributes:
      method: HTTP method.
      path: Path below `/admin/v1`, with its query.
      body: JSON data to send; None for no body.
      headers: Headers besides the credential.
    """

    method: str
    path: str
    body: Any = None
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """A router's response.

    Attributes:
      router: Base URL of the router.
      status: HTTP status.
      body: JSON data; None if the body is not JSON.
    """

    router: str
    status: int
    body: Any


def path(*parts: str, **query: Any) -> str:
    """Builds a path of quoted parts; query values of None are omitted."""
    joined = ''.join(f'/{url_parse.quote(part, safe="")}' for part in parts)
    present = {
        name: value for name, value in query.items() if value is not None
    }
    return f'{joined}?{url_parse.urlencode(present)}' if present else joined


def _request(router: str, token: str, call: Call) -> blacksheep.Request:
    headers = [
        (b'Authorization', f'Bearer {token}'.encode()),
        *((name.encode(), value.encode()) for name, value in call.headers),
    ]
    url = f'{router}{_PREFIX}{call.path}'.encode()
    req = blacksheep.Request(call.method, url, headers)
    if call.body is None:
        return req
    data = json.dumps(call.body).encode()
    return req.with_content(blacksheep.Content(_JSON, data))


def _parse_json(data: bytes | None) -> Any:
    try:
        return json.loads(data or b'')
    except ValueError:
        return None


async def send(
    session: client.Session,
    router: str,
    token: str,
    call: Call,
    timeout_s: float,
) -> Response:
    """Sends a call to a router and reads the complete response.

    Raises:
      NotSentError: The connection failed or the request is invalid.
      ResponseLostError: The connection failed or timed out after that.
    """
    try:
        async with asyncio.timeout(timeout_s):
            resp = await session.send(_request(router, token, call))
            data = await resp.read()
    except (net_error.ConnectFailedError, net_error.RequestInvalidError) as exc:
        raise NotSentError(f'{router}: {exc.detail}') from exc
    except net_error.NetError as exc:
        raise ResponseLostError(f'{router}: {exc.detail}') from exc
    except TimeoutError as exc:
        raise ResponseLostError(
            f'{router}: no whole answer within {timeout_s:g} s'
        ) from exc
    return Response(router, resp.status, _parse_json(data))
