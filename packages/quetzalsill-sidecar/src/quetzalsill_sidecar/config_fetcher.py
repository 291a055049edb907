"""Fetches newer configurations, from one router at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from quetzalsill.wire import message

if TYPE_CHECKING:
    from quetzalsill.config import holder

__all__ = ['REPLY_TIMEOUT_S', 'ConfigFetcher', 'Source']

# Shorter than the time that a Dispatch waits for its newer revision, so that
# a second router can still be asked.
REPLY_TIMEOUT_S = 1.0


class Source(Protocol):
    """A router that configurations can be requested from."""

    def put(self, msg: message.Message) -> None:
        """Sends a message to the router."""


class ConfigFetcher:
    """Requests a newer configuration from one of the routers that have it.

    All routers announce a new revision at about the same time. If each of them
    were asked, every edit would transfer one document per link, and a sidecar
    that is starting would hold hundreds of documents in memory at once.
    """

    def __init__(self, configuration: holder.Holder) -> None:
        self._configuration = configuration
        self._offers: dict[Source, int] = {}
        self._requested: dict[Source, int] = {}
        self._pending: Source | None = None
        self._timer: asyncio.TimerHandle | None = None

    def offer(self, source: Source, revision: int) -> None:
        """Records that a router has a revision; requests it if needed.

        A router is asked only once for a revision: either its document is in
        transit, or its link will be dropped.
        """
        if revision > max(
            self._configuration.revision, self._requested.get(source, 0)
        ):
            self._offers[source] = revision
            self._request_next()

    def record_reply(self, source: Source) -> None:
        """Records that a router has replied; its document was processed."""
        self._offers.pop(source, None)
        if source is self._pending:
            self._clear_pending()

    def remove_source(self, source: Source) -> None:
        """Removes a router whose link has closed."""
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
        # The router may be paused or its link may be dead. Another router is
        # asked, and whichever document arrives first is installed.
        del self._offers[self._pending]
        self._clear_pending()

    def _clear_pending(self) -> None:
        self._timer.cancel()
        self._pending = None
        self._request_next()
