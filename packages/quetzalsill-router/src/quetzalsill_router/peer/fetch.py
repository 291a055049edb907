"""Configuration asked for over a link."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_router.peer import error

if TYPE_CHECKING:
    from quetzalsill.wire import message

__all__ = ['FETCH_S', 'Fetches']

FETCH_S = 5.0


class Fetches:
    """Those who wait for a ConfigReply."""

    def __init__(self) -> None:
        self._waiting: list[asyncio.Future[message.ConfigReply]] = []

    async def wait(self) -> message.ConfigReply:
        """Gives the next reply.

        Raises:
          error.ConfigFetchError: None came within `FETCH_S`, or the link
            ended before.
        """
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append(fut)
        try:
            async with asyncio.timeout(FETCH_S):
                return await fut
        except TimeoutError as exc:
            raise error.ConfigFetchError(f'none within {FETCH_S} s') from exc
        finally:
            self._waiting.remove(fut)

    def settle(self, reply: message.ConfigReply) -> None:
        """Hands a reply to all who wait."""
        for fut in self._open():
            fut.set_result(reply)

    def fail(self) -> None:
        """Tells all who wait that the link has ended."""
        for fut in self._open():
            fut.set_exception(error.ConfigFetchError('the link ended'))

    def _open(self) -> list[asyncio.Future[message.ConfigReply]]:
        return [fut for fut in self._waiting if not fut.done()]
