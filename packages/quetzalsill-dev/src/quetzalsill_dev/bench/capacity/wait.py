"""Waits for what many parts bring about, none of which tells of it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['until']

TICK_S = 0.02
BOUND_S = 60.0


async def until(condition: Callable[[], bool]) -> None:
    """Looks again and again until the condition holds.

    Raises:
      TimeoutError: It does not hold in time.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + BOUND_S
    while not condition():
        if loop.time() > deadline:
            raise TimeoutError
        await asyncio.sleep(TICK_S)
