"""Reads request bodies with limits on size and time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any

from quetzalsill.error import request as request_error
from quetzalsill_router.request import field

if TYPE_CHECKING:
    import blacksheep

__all__ = ['CallerDisconnectedError', 'chunks', 'read', 'read_object']

READ_TIMEOUT_S = 60.0


class CallerDisconnectedError(request_error.CancelledError):
    """The caller closed its connection before its request was complete."""


async def chunks(
    request: blacksheep.Request, max_bytes: int
) -> AsyncIterator[bytes]:
    """Yields the body as it arrives.

    The received bytes are counted, whatever `Content-Length` states.

    Raises:
      TooLargeError: The body is larger than `max_bytes`.
      BadRequestError: No data arrived within `READ_TIMEOUT_S`.
      CallerDisconnectedError: The connection was closed.
    """
    length = request.get_first_header(b'content-length')
    if length is not None and int(length) > max_bytes:
        # Refused before any of it is forwarded, so the request did not run.
        raise _too_large(max_bytes)
    receive = request.content.receive
    received_bytes = 0
    more = True
    while more:
        try:
            event = await asyncio.wait_for(receive(), READ_TIMEOUT_S)
        except TimeoutError as exc:
            raise request_error.BadRequestError(
                f'the body stopped for {READ_TIMEOUT_S:.0f} s'
            ) from exc
        if event['type'] == 'http.disconnect':
            raise CallerDisconnectedError(
                'the caller left before its body ended'
            )
        data = event.get('body', b'')
        more = event.get('more_body', False)
        received_bytes += len(data)
        if received_bytes > max_bytes:
            raise _too_large(max_bytes)
        if data:
            yield data


def _too_large(max_bytes: int) -> request_error.TooLargeError:
    return request_error.TooLargeError(
        f'the body is over {max_bytes} bytes',
        advice=f'Send at most {max_bytes} bytes.',
    )


async def read(request: blacksheep.Request, max_bytes: int) -> bytes:
    """Reads the complete body."""
    return b''.join([data async for data in chunks(request, max_bytes)])


async def read_object(
    request: blacksheep.Request, max_bytes: int
) -> dict[str, Any]:
    """Reads the body as a JSON object.

    Raises:
      FieldError: The body is not JSON or not an object.
    """
    data = await read(request, max_bytes)
    try:
        parsed = json.loads(data, parse_constant=_refuse_constant)
    except RecursionError as exc:
        raise field.FieldError('body', 'JSON is nested too deep') from exc
    except ValueError as exc:
        raise field.FieldError('body', f'not JSON: {exc}') from exc
    if not isinstance(parsed, dict):
        raise field.FieldError('body', 'must be a JSON object')
    return parsed


def _refuse_constant(name: str) -> None:
    """Rejects NaN and infinities, which are not valid JSON."""
    raise ValueError(f'{name} is not a JSON number')
