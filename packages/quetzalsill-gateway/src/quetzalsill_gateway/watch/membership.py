"""Keeps the upstreams by what the source tells, here or to another gateway.

The price of a notice that comes late is runs lost with their engine. So one
gateway at any time has a call at the source that waits for a change, and tells
the others at once (`watch.turn`).
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_gateway import error, event, meter
from quetzalsill_gateway.watch import news as news_lib
from quetzalsill_gateway.watch import recent as recent_lib
from quetzalsill_gateway.watch import turn as turn_lib

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from quetzalsill_gateway import source
    from quetzalsill_gateway.fleet import upstream

__all__ = ['Membership']

NAME = 'membership'
# A call waits so long for a change at the source; it ends late if its
# connection is silent.
WAIT_S = 0.4
# Who has heard nothing for so long asks itself: `WAIT_S` and the time of a call
# to a slow source, and a draw. Upstreams that leave serve on for 1.5 s after
# their notice at the least; with whoever watches lost, some of it is left.
LEAST_S = 0.75
SPREAD_S = 0.4
# Whoever watches asks on after so long, which takes in what changes with what
# was told, and bounds its calls where entries change without end.
ASK_ON_S = 0.03
# Share of the time in which a notice must be known, after which a gateway that
# hears nothing asks at the latest.
BOUND_SHARE = 0.75


class Membership:
    """Follows the source of membership; one task runs `run`."""

    def __init__(
        self,
        ask: source.Ask[upstream.Change],
        upstreams: upstream.Upstreams,
        health: source.Health,
        bound_s: float,
        rng: random.Random | None = None,
    ) -> None:
        """Prepares to follow.

        Args:
          ask: Asks the source.
          upstreams: Kept up to date.
          health: Told whether the source answers.
          bound_s: Time in which a change must be known, in seconds.
          rng: Draws the times of looks.
        """
        self._ask = ask
        self._upstreams = upstreams
        self._health = health
        self._version: int | None = None
        self._recent = recent_lib.Recent()
        scale = min(1.0, BOUND_SHARE * bound_s / (LEAST_S + SPREAD_S))
        self._wait_s = scale * WAIT_S
        pace = turn_lib.Pace(scale * LEAST_S, scale * SPREAD_S, ASK_ON_S)
        self._turn = turn_lib.Turn(pace, lambda: upstreams.sharers, rng)
        self._announce: Callable[[news_lib.News], None] | None = None
        self._on_lack: Callable[[], None] | None = None

    def on_look(self, announce: Callable[[news_lib.News], None]) -> None:
        """Sets what tells the other gateways."""
        self._announce = announce

    def on_lack(self, callback: Callable[[], None]) -> None:
        """Calls back when nothing is known and the source does not answer."""
        self._on_lack = callback

    def whole(self) -> news_lib.MembershipNews | None:
        """Returns all that is known, for a gateway that knows nothing."""
        if self._version is None:
            return None
        return news_lib.MembershipNews(
            news_lib.EVERYTHING,
            self._version,
            self._recent.all(self._version),
            self._upstreams.lapses_left_s,
        )

    async def run(self) -> None:
        """Looks whenever it is this gateway's turn; runs until cancelled."""
        while True:
            await self._turn.wait()
            await self._look()

    def hear(self, told: news_lib.MembershipNews) -> None:
        """Takes what another gateway was told."""
        known = self._version
        if known is None and told.since == news_lib.EVERYTHING:
            self._restart(list(told.changes), told.version)
            if not told.is_echo:
                self._turn.heard(asyncio.get_running_loop().time())
            return
        if known is None or told.version < known:
            meter.news.inc({'of': NAME, 'result': 'old'})
            return
        if told.since > known:
            # Datagrams were lost: what came between is not known here.
            meter.news.inc({'of': NAME, 'result': 'gap'})
            self._turn.hurry()
            return
        meter.news.inc({'of': NAME, 'result': 'taken'})
        if told.lapses_s > 0:
            self._upstreams.expect_lapsed(told.lapses_s)
        fresh = [one for one in told.changes if one.version > known]
        self._take(fresh, known, told.version)
        if not told.is_echo:
            self._turn.heard(asyncio.get_running_loop().time())

    async def _look(self) -> None:
        loop = asyncio.get_running_loop()
        known = self._version
        try:
            found = await self._ask(known, self._wait_s)
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
        newest = self._version
        if newest is not None and found.version < newest:
            self._correct(known, found.version)
            return
        if found.is_whole:
            self._restart(found.items, found.version)
        else:
            # Told by others meanwhile, if it is not behind `newest`.
            fresh = [one for one in found.items if one.version > newest]
            self._take(fresh, newest, found.version)
        if self._turn.answered(loop.time()):
            self._tell()

    def _correct(self, known: int | None, told: int) -> None:
        """Meets an answer from before what is known here.

        Others may have told more while the call was under way. But what was
        known when it was sent is in every answer: a version above it can only
        come from a faulty datagram, and nothing would be heard until the
        source has come so far.
        """
        if known is not None and told < known:
            event.note(event.VersionAhead(NAME, known, told))
            self._version = None

    def _restart(self, found: list[upstream.Change], version: int) -> None:
        self._upstreams.confirm()
        self._upstreams.replace(found, version)
        self._recent.restart(found, version)
        self._version = version

    def _take(
        self, changes: list[upstream.Change], before: int, version: int
    ) -> None:
        self._upstreams.confirm()
        self._version = version
        now = asyncio.get_running_loop().time()
        for change in self._recent.step(now, before, changes):
            self._upstreams.apply(change)

    def _tell(self) -> None:
        if self._announce is not None:
            self._announce(
                news_lib.MembershipNews(
                    self._recent.since,
                    self._version,
                    self._recent.changes,
                    self._upstreams.lapses_left_s,
                )
            )
