"""Holds an answer back until it is complete."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator

from quetzalsill_router.request import piece

__all__ = ['whole']

MAX_BATCH = 256


def _nothing() -> None:
    """Stands for the release of items that were released when held."""


async def whole(
    pieces: AsyncGenerator[piece.Piece, None],
) -> AsyncGenerator[piece.Piece, None]:
    """Yields the items of `pieces` only after its regular end.

    A generation that is lost after its tenth token and replaced would
    show as a splice of two answers. Held here, the lost tokens go with
    the generator that raised, and the caller sees the replacement only.
    """
    held: list[bytes] = []
    async with contextlib.aclosing(pieces):
        async for part in pieces:
            if isinstance(part, piece.Head):
                yield part
                continue
            held.extend(part.items)
            part.release()
    for start in range(0, len(held), MAX_BATCH):
        yield piece.Items(held[start : start + MAX_BATCH], _nothing)
