"""The id that the events of an answer carry towards the caller."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ['make_id_replacer']


def make_id_replacer(request: str) -> Callable[[Iterable[bytes]], list[bytes]]:
    """Makes the function that puts the request's id into JSON events.

    The engine knows the attempt, and its events carry an id made of that; a
    caller that asks for it at `/v1/requests/{id}` would find nothing. Events
    are not parsed one by one: the engine's id is learnt from one and its
    quoted text replaced in the others. It can't be met within a text, where
    quotes are escaped.
    """
    wanted = json.dumps(request).encode()
    quoted: bytes | None = None

    def label(items: Iterable[bytes]) -> list[bytes]:
        nonlocal quoted
        labelled = []
        for item in items:
            # Cheaper than to look for the id first.
            done = item.replace(quoted, wanted, 1) if quoted else item
            if done == item and quoted != b'':
                quoted = _quoted_id(item)
                done = item.replace(quoted, wanted, 1) if quoted else item
            labelled.append(done)
        return labelled

    return label


def _quoted_id(item: bytes) -> bytes:
    """Returns the id of an event as it stands there; empty if it has none."""
    try:
        found = json.loads(item)['id']
    except (ValueError, KeyError, TypeError):
        return b''
    return json.dumps(found).encode() if isinstance(found, str) else b''
