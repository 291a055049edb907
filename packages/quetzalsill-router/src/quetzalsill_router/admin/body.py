"""Reads the JSON body of a write request."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from quetzalsill.config import document
from quetzalsill.error import request as request_error
from quetzalsill_router.http import body as http_body

if TYPE_CHECKING:
    import blacksheep

__all__ = ['read_object']


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Rejects duplicate keys, of which `dict` would keep only the last."""
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError('a key stands twice in one object')
    return result


def _reject_constant(name: str) -> Any:
    raise ValueError(f'{name} is not JSON')


def _parse(data: bytes) -> Any:
    value = json.loads(
        data, object_pairs_hook=_build_object, parse_constant=_reject_constant
    )
    # An escaped lone surrogate parses but cannot be encoded. Once stored, it
    # would break every client that prints the configuration as UTF-8.
    json.dumps(value, ensure_ascii=False).encode()
    return value


async def read_object(req: blacksheep.Request) -> dict[str, Any]:
    """Reads a JSON object.

    Raises:
      TooLargeError: The body exceeds the maximum size of a document.
      BadRequestError: The body is not JSON, or not an object.
      CallerDisconnectedError: The connection was closed before the body ended.
    """
    data = await http_body.read(req, document.MAX_DOCUMENT_BYTES)
    try:
        value = _parse(data)
    except (ValueError, RecursionError) as exc:
        raise request_error.BadRequestError(
            f'the body is not JSON: {exc}'
        ) from exc
    if not isinstance(value, dict):
        raise request_error.BadRequestError(
            f'the body is {type(value).__name__}, not a JSON object'
        )
    return value
