"""Waits for conditions over many objects that send no notification."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['until']

POLL_INTERVAL_S = 0.02
TIMEOUT_S = 60.0


async def until(condition: Callable[[], bool]) -> None:
    """Polls a condition until it holds.

    Raises:
      TimeoutError: The condition does not hold within TIMEOUT_S.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + TIMEOUT_S
    while not condition():
        if loop.time() > deadline:
            raise TimeoutError
        await asyncio.sleep(POLL_INTERVAL_S)
