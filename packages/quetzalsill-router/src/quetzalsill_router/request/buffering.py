"""Buffers an answer until it is complete."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator

from quetzalsill_router.request import piece

__all__ = ['until_complete']

MAX_BATCH = 256


def _no_release() -> None:
    """Does nothing: buffered items were released on arrival."""


async def until_complete(
    pieces: AsyncGenerator[piece.Piece, None],
) -> AsyncGenerator[piece.Piece, None]:
    """Yields the items of `pieces` only after `pieces` ends without error.

    If a generation fails midway and is replaced, streaming both would mix
    two answers. Here the items of the failed one are discarded together
    with the generator that raised.
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
