"""Holds an answer back until it is complete."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator

from quetzalsill_router.request import piece

__all__ = ['until_complete']

MAX_BATCH = 256


def _no_release() -> None:
    """Stands for the release of items that were released when buffered."""


async def until_complete(
    pieces: AsyncGenerator[piece.Piece, None],
) -> AsyncGenerator[piece.Piece, None]:
    """Yields the items of `pieces` only after its regular end.

    A generation that is lost after its tenth token and replaced would
    show as a splice of two answers. Held here, the lost tokens go with
    the generator that raised, and the caller sees the replacement only.
    """
    items: list[bytes] = []
    async with contextlib.aclosing(pieces):
        async for part in pieces:
            if isinstance(part, piece.Head):
                yield part
                continue
            items.extend(part.items)
            part.release()
    for start in range(0, len(items), MAX_BATCH):
        yield piece.Items(items[start : start + MAX_BATCH], _no_release)
