"""Fetches the configuration over a link."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill.wire import message
from quetzalsill_router.peer import error

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['FETCH_TIMEOUT_S', 'ConfigFetcher']

FETCH_TIMEOUT_S = 5.0


class ConfigFetcher:
    """Requests the configuration of a sidecar."""

    def __init__(self, send: Callable[[message.Message], bool]) -> None:
        """Initializes the fetcher without pending requests.

        Args:
          send: Sends a message; returns False if there is no link.
        """
        self._send = send
        self._pending: list[asyncio.Future[message.ConfigReply]] = []

    async def fetch(self, revision: int) -> message.ConfigReply:
        """Returns the sidecar's configuration if newer than `revision`.

        Raises:
          error.ConfigFetchError: There is no link, or it ended, or no newer
            configuration was received within `FETCH_TIMEOUT_S`.
        """
        if not self._send(message.ConfigFetch(revision)):
            raise error.ConfigFetchError('no link')
        fut = asyncio.get_running_loop().create_future()
        self._pending.append(fut)
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                return await fut
        except TimeoutError as exc:
            raise error.ConfigFetchError(
                f'no configuration within {FETCH_TIMEOUT_S} s'
            ) from exc
        finally:
            self._pending.remove(fut)

    def resolve(self, reply: message.ConfigReply) -> None:
        """Resolves all pending fetches with a reply."""
        for fut in self._unresolved():
            fut.set_result(reply)

    def fail(self) -> None:
        """Fails all pending fetches because the link has ended."""
        for fut in self._unresolved():
            fut.set_exception(error.ConfigFetchError('the link ended'))

    def _unresolved(self) -> list[asyncio.Future[message.ConfigReply]]:
        return [fut for fut in self._pending if not fut.done()]
