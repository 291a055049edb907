"""Pieces of an answer, passed from an attempt to the caller."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

__all__ = ['Head', 'Items', 'Piece']


@dataclasses.dataclass(slots=True)
class Head:
    """Status and headers of the response to a call."""

    status: int
    headers: list[list[str]]


@dataclasses.dataclass(slots=True)
class Items:
    """Consecutive items: JSON events of a generation or bytes of a call.

    Attributes:
      items: The items, in order.
      release: Called once the items are written to the caller or
        buffered; permits the sidecar to send as many more.
    """

    items: list[bytes]
    release: Callable[[], None]


Piece = Head | Items
