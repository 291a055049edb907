"""Reads the JSON body of a write."""

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
    """Builds an object; a key that stands twice would lose one of them."""
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
    # A lone surrogate written as an escape parses, but is no character: it
    # would be stored and fail whoever prints the configuration in UTF-8.
    json.dumps(value, ensure_ascii=False).encode()
    return value


async def read_object(req: blacksheep.Request) -> dict[str, Any]:
    """Reads a JSON object.

    Raises:
      TooLargeError: The body is larger than a document may be.
      BadRequestError: It is not JSON, or not an object.
      CallerLeftError: The connection closed within the body.
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
