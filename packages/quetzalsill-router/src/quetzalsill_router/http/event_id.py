"""Replaces the engine's ids in events with the request's id."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ['make_id_replacer']


def make_id_replacer(request: str) -> Callable[[Iterable[bytes]], list[bytes]]:
    """Makes a function that sets the request's id in JSON events.

    The engine only knows the attempt and derives the id in its events from
    it; `/v1/requests/{id}` does not know that id. To avoid parsing every
    event, the engine's id is read from one event, and its quoted text is
    replaced in the others. That text cannot occur within generated text,
    where quotes are escaped.
    """
    request_id_json = json.dumps(request).encode()
    engine_id_json: bytes | None = None

    def replace_ids(items: Iterable[bytes]) -> list[bytes]:
        nonlocal engine_id_json
        replaced = []
        for item in items:
            # Replacing is cheaper than searching for the id first.
            new_item = (
                item.replace(engine_id_json, request_id_json, 1)
                if engine_id_json
                else item
            )
            if new_item == item and engine_id_json != b'':
                engine_id_json = _quoted_id(item)
                new_item = (
                    item.replace(engine_id_json, request_id_json, 1)
                    if engine_id_json
                    else item
                )
            replaced.append(new_item)
        return replaced

    return replace_ids


def _quoted_id(item: bytes) -> bytes:
    """Returns the JSON text of an event's id; empty if it has none."""
    try:
        value = json.loads(item)['id']
    except (ValueError, KeyError, TypeError):
        return b''
    return json.dumps(value).encode() if isinstance(value, str) else b''
