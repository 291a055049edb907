"""Headers forwarded between caller and app server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill.net import header

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ['end_to_end', 'framing']

REQUEST_ONLY = frozenset({'host', 'expect', 'content-length'})
WITH_BODY = frozenset({'POST', 'PUT', 'PATCH'})


def end_to_end(
    pairs: Sequence[Sequence[str]], *, request: bool
) -> list[tuple[str, str]]:
    """Returns the headers without those that apply to one connection only."""
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    dropped = header.HOP_BY_HOP | named
    if request:
        dropped |= REQUEST_ONLY
    return [
        (name, value) for name, value in pairs if name.lower() not in dropped
    ]


def framing(
    method: str,
    pairs: Sequence[Sequence[str]],
    first: bytes,
    *,
    is_open: bool,
) -> list[tuple[str, str]]:
    """Returns the headers that give the length of a request body.

    Args:
      method: HTTP method.
      pairs: The caller's headers.
      first: First piece of the body.
      is_open: Whether more pieces follow.
    """
    if not is_open:
        if first or method.upper() in WITH_BODY:
            return [('content-length', str(len(first)))]
        return []
    for name, value in pairs:
        if name.lower() == 'content-length':
            return [('content-length', value)]
    return [('transfer-encoding', 'chunked')]
