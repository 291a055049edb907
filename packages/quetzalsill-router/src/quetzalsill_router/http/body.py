"""Reading of request bodies, within bounds."""

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
    """The caller closed its connection before its request was whole."""


async def chunks(
    request: blacksheep.Request, max_bytes: int
) -> AsyncIterator[bytes]:
    """Yields the body as it comes; it is counted, however long it says it is.

    Raises:
      TooLargeError: It is over `max_bytes`.
      BadRequestError: A piece was not there within `READ_TIMEOUT_S`.
      CallerDisconnectedError: The connection was closed.
    """
    length = request.get_first_header(b'content-length')
    if length is not None and int(length) > max_bytes:
        # Refused before anything of it is sent on, so that it did not run.
        raise _too_large(max_bytes)
    receive = request.content.receive
    seen = 0
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
        seen += len(data)
        if seen > max_bytes:
            raise _too_large(max_bytes)
        if data:
            yield data


def _too_large(max_bytes: int) -> request_error.TooLargeError:
    return request_error.TooLargeError(
        f'the body is over {max_bytes} bytes',
        advice=f'Send at most {max_bytes} bytes.',
    )


async def read(request: blacksheep.Request, max_bytes: int) -> bytes:
    """Reads the whole body."""
    return b''.join([data async for data in chunks(request, max_bytes)])


async def read_object(
    request: blacksheep.Request, max_bytes: int
) -> dict[str, Any]:
    """Reads the body as a JSON object.

    Raises:
      FieldError: It is not JSON or not an object.
    """
    data = await read(request, max_bytes)
    try:
        plain = json.loads(data, parse_constant=_refuse_constant)
    except RecursionError as exc:
        raise field.FieldError('body', 'JSON is nested too deep') from exc
    except ValueError as exc:
        raise field.FieldError('body', f'not JSON: {exc}') from exc
    if not isinstance(plain, dict):
        raise field.FieldError('body', 'must be a JSON object')
    return plain


def _refuse_constant(name: str) -> None:
    """Refuses NaN and the infinities, which JSON does not know."""
    raise ValueError(f'{name} is not a JSON number')
