"""Keeps the configuration in force, and the zones that are drained, up to date.

One gateway at a time has a call at the source that waits for a change. Whoever
it is tells the others the number of the newest configuration, and for a while
after a change what is new in it. Who cannot make the newest of that reads it
from the source.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_gateway import error, event, meter
from quetzalsill_gateway.fleet import zones
from quetzalsill_gateway.watch import news as news_lib
from quetzalsill_gateway.watch import patch as patch_lib
from quetzalsill_gateway.watch import turn as turn_lib

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from quetzalsill_gateway import source

__all__ = ['Configuration']

NAME = 'configuration'
# Shares of the time in which a change must be in force. A call waits for
# `WAIT`, so that one whose connection has fallen silent is noticed; who has
# heard nothing asks itself between `LEAST` and `LEAST` + `SPREAD`, which leaves
# time to read.
WAIT = 0.3
LEAST = 0.5
SPREAD = 0.25
# Whoever watches asks on after so long. Two that were answered at the same time
# have heard of each other by then; at once, each would take the other's word
# for that of who watches from now on, and both would stop.
ASK_ON_S = 0.03
# A patch is told as often as it takes to reach those that missed a datagram.
PATCH_S = 3.0
# An order to drain a zone that is newer than what the source has come to for
# this long is a sender's fault: the source is never behind itself for longer.
AHEAD_S = 5.0
# A document whole fits a datagram up to this size; packed, it is some tenth of
# what operators write.
MOST_WHOLE_BYTES = 49_152


class Configuration:
    """Follows the source of configuration; one task runs `run`."""

    def __init__(
        self,
        ask: source.Ask[source.OperatorItem],
        read: source.ReadDocument,
        holder: source.Holder,
        drained: zones.Zones,
        health: source.Health,
        sharers: Callable[[], int],
        bound_s: float,
        rng: random.Random | None = None,
    ) -> None:
        """Prepares to follow.

        Args:
          ask: Asks the source for documents and for orders to drain zones.
          read: Makes a routing table of a document.
          holder: Takes each newer one.
          drained: Takes the orders.
          health: Told whether the source answers.
          sharers: Returns how many gateways tell each other.
          bound_s: Time in which a change must be in force, in seconds.
          rng: Draws the times of calls.
        """
        self._ask = ask
        self._read = read
        self._holder = holder
        self._drained = drained
        self._ahead_s: float | None = None
        self._health = health
        self._wait_s = WAIT * bound_s
        self._version: int | None = None
        self._document = b''
        self._patch = b''
        self._patched_s = 0.0
        pace = turn_lib.Pace(LEAST * bound_s, SPREAD * bound_s, ASK_ON_S)
        self._turn = turn_lib.Turn(pace, sharers, rng)
        self._announce: Callable[[news_lib.News], None] | None = None
        self._on_lack: Callable[[], None] | None = None

    def on_look(self, announce: Callable[[news_lib.News], None]) -> None:
        """Sets what tells the other gateways."""
        self._announce = announce

    def on_lack(self, callback: Callable[[], None]) -> None:
        """Calls back when nothing is known and the source does not answer."""
        self._on_lack = callback

    def whole(self) -> news_lib.ConfigurationNews | None:
        """Returns all that is known, for a gateway that knows nothing."""
        if self._version is None or not self._document:
            return None
        document = patch_lib.make(b'', self._document, MOST_WHOLE_BYTES)
        if document is None:
            return None
        return news_lib.ConfigurationNews(
            self._version, self._number(), document, self._drained.drains
        )

    async def run(self) -> None:
        """Asks whenever it is this gateway's turn; runs until cancelled."""
        while True:
            await self._turn.wait()
            await self._look()

    def hear(self, told: news_lib.ConfigurationNews) -> None:
        """Takes what another gateway was told."""
        # Each order by its own version, whatever else is told.
        self._drained.hear(told.drains)
        self._correct_drains(self._drained.newest, told.version)
        known = self._version
        if known is None and self._is_patched(told):
            self._version = told.version
            self._holder.confirm()
            return
        if known is None or told.configuration < self._number():
            meter.news.inc({'of': NAME, 'result': 'old'})
            return
        if told.configuration > self._number() and not self._is_patched(told):
            # The version known here stays, so that no edit is passed over.
            meter.news.inc({'of': NAME, 'result': 'newer'})
            self._turn.hurry()
            return
        if told.version < known:
            meter.news.inc({'of': NAME, 'result': 'old'})
            return
        meter.news.inc({'of': NAME, 'result': 'taken'})
        self._version = told.version
        self._holder.confirm()
        if not told.is_echo:
            self._turn.heard(asyncio.get_running_loop().time())

    async def _look(self) -> None:
        loop = asyncio.get_running_loop()
        known = self._version
        # Behind it may lie many edits, each told with its whole document, and
        # only the newest counts.
        after = None if self._turn.is_behind else known
        newest_drain = self._drained.newest
        try:
            found = await self._ask(after, self._wait_s)
        except error.SourceError as exc:
            self._health.lose(NAME, str(exc))
            self._turn.failed(loop.time())
            if self._version is None and self._on_lack is not None:
                self._on_lack()
            return
        self._health.regain(NAME)
        if found is None:
            event.note(event.StoreHistoryLost(NAME, known))
            self._version = None
            return
        if known is not None and found.version < known:
            event.note(event.VersionAhead(NAME, known, found.version))
            self._version = None
            return
        self._holder.confirm()
        self._take(found)
        self._correct_drains(newest_drain, found.version)
        self._version = max(found.version, self._version or 0)
        if self._turn.answered(loop.time()):
            self._tell()

    def _take(self, found: source.Found[source.OperatorItem]) -> None:
        drains = []
        for item in found.items:
            if isinstance(item, zones.Drain):
                drains.append(item)
            else:
                self._install(item)
        if found.is_whole:
            self._drained.replace(drains, found.version)
        else:
            self._drained.hear(drains)

    def _correct_drains(self, known: int, told: int) -> None:
        """Drops an order that the source does not come to: it is faulty.

        Not at the first answer, which may be one that is told late.
        """
        now = asyncio.get_running_loop().time()
        if known <= told:
            self._ahead_s = None
        elif self._ahead_s is None:
            self._ahead_s = now
        elif now - self._ahead_s > AHEAD_S:
            event.note(event.VersionAhead('zones', known, told))
            self._drained.forget_newer(told)
            self._ahead_s = self._version = None

    def _tell(self) -> None:
        if self._announce is None:
            return
        now = asyncio.get_running_loop().time()
        is_new = now - self._patched_s < PATCH_S
        self._announce(
            news_lib.ConfigurationNews(
                self._version,
                self._number(),
                self._patch if is_new else b'',
                self._drained.drains,
            )
        )

    def _is_patched(self, told: news_lib.ConfigurationNews) -> bool:
        """Whether what is told has made the newest configuration here."""
        if not told.patch:
            return False
        try:
            document = patch_lib.apply(self._document, told.patch)
        except error.PatchError:
            return False
        self._install(document)
        return self._number() == told.configuration

    def _number(self) -> int:
        table = self._holder.current
        return table.version if table else 0

    def _install(self, document: bytes) -> None:
        try:
            table = self._read(document)
        except error.ConfigurationError as exc:
            event.note(event.ConfigurationInvalid(str(exc), exc.advice))
            return
        if not self._holder.install(table):
            return
        if self._document:
            self._patch = patch_lib.make(self._document, document) or b''
            self._patched_s = asyncio.get_running_loop().time()
        self._document = document
