"""Fetches newer configurations, from one router at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from quetzalsill.wire import message

if TYPE_CHECKING:
    from quetzalsill.config import holder

__all__ = ['REPLY_TIMEOUT_S', 'ConfigFetcher', 'Source']

# Less than a Dispatch of the newer revision waits, so that a second router
# is asked in time.
REPLY_TIMEOUT_S = 1.0


class Source(Protocol):
    """A router that may be asked."""

    def put(self, msg: message.Message) -> None:
        """Sends to the router."""


class ConfigFetcher:
    """Asks one of the routers that named a newer revision.

    All routers name it at about the same time. Were each of them asked, every
    edit would bring one document for each link, and a sidecar that starts
    would take hundreds of them at once into its memory.
    """

    def __init__(self, configuration: holder.Holder) -> None:
        self._configuration = configuration
        self._offers: dict[Source, int] = {}
        self._requested: dict[Source, int] = {}
        self._pending: Source | None = None
        self._timer: asyncio.TimerHandle | None = None

    def offer(self, source: Source, revision: int) -> None:
        """Notes that a router has a revision, and asks it if need be.

        A router is asked once for a revision: its document is on the way, or
        its link will be given up.
        """
        if revision > max(
            self._configuration.revision, self._requested.get(source, 0)
        ):
            self._offers[source] = revision
            self._request_next()

    def record_reply(self, source: Source) -> None:
        """Notes that a router has answered; its document was tried."""
        self._offers.pop(source, None)
        if source is self._pending:
            self._clear_pending()

    def remove_source(self, source: Source) -> None:
        """Notes that the link of a router has ended."""
        self._requested.pop(source, None)
        self.record_reply(source)

    def _request_next(self) -> None:
        if self._pending is not None:
            return
        self._offers = {
            source: revision
            for source, revision in self._offers.items()
            if revision > self._configuration.revision
        }
        if not self._offers:
            return
        self._pending = max(self._offers, key=self._offers.__getitem__)
        self._requested[self._pending] = self._offers[self._pending]
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REPLY_TIMEOUT_S, self._expire)
        self._pending.put(message.ConfigFetch(self._configuration.revision))

    def _expire(self) -> None:
        # It may be paused or its link silent; another one is asked, and
        # whichever document comes first is installed.
        del self._offers[self._pending]
        self._clear_pending()

    def _clear_pending(self) -> None:
        self._timer.cancel()
        self._pending = None
        self._request_next()
