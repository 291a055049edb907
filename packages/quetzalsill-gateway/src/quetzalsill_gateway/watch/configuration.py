"""Keeps the configuration in force, and the zones that are drained, up to date.

One gateway at a time has a call at the source that waits for a change. Whoever
it is tells the others the number of the newest configuration, and for a while
after a change what is new in it. Who cannot make the newest of that reads it
from the source.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_gateway import error, event, meter, source
from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.fleet import zones
from quetzalsill_gateway.watch import epoch, in_force, overlap
from quetzalsill_gateway.watch import news as news_lib
from quetzalsill_gateway.watch import turn as turn_lib

if TYPE_CHECKING:
    import random
    from collections.abc import Callable


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
# An order to drain a zone that is newer than what the source has come to for
# this long is a sender's fault: the source is never behind itself for longer.
AHEAD_S = 5.0
# Draw of the time at which a gateway asks in a new epoch of the source, unless
# another has told by then.
ANEW_S = 1.0
# Others are asked for a configuration that the source lacks this rarely. Each
# answers: if that makes nothing here either, such as one that only a later
# release can read, every answer would be met with further questions.
ASK_OTHERS_S = 1.0


class Configuration:
    """Follows the source of configuration; one task runs `run`.

    Attributes:
      in_force: The document in force.
    """

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
        epochs: epoch.Epochs | None = None,
        node: str = '',
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
          epochs: The epoch that the source has told; None if it tells none.
          node: Name of this gateway.
        """
        self._ask = ask
        self._node = node
        self._holder = holder
        self.in_force = in_force.InForce(read, holder)
        self._drained = drained
        self._ahead_s: float | None = None
        # Whether the next list counts whatever is known of zones.
        self._is_overruled = False
        self._health = health
        self._wait_s = WAIT * bound_s
        self._epochs = epochs or epoch.Epochs()
        self._epochs.on_new(lambda: self._turn.within(ANEW_S))
        self._revision: revision_lib.Revision | None = None
        self._listed: revision_lib.Revision | None = None
        self._wanted = self._lacking = 0
        self._overlap = overlap.Overlap(sharers, rng)
        self._ask_others_s = 0.0
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
        document = self.in_force.whole()
        if self._revision is None or document is None:
            return None
        return self._news(document)

    def _news(self, patch: bytes) -> news_lib.ConfigurationNews:
        drains = self._drained.drains
        return news_lib.ConfigurationNews(
            self._revision,
            self.in_force.number,
            patch,
            # One that is newer than the rest would make all of it malformed.
            tuple(one for one in drains if one.revision <= self._revision),
            written=min(self.in_force.written, self._revision),
            digest=self.in_force.digest,
        )

    async def run(self) -> None:
        """Asks whenever it is this gateway's turn; runs until cancelled."""
        while True:
            await self._turn.wait()
            await self._look()

    def hear(self, told: news_lib.ConfigurationNews) -> None:
        """Takes what another gateway was told."""
        if self._epochs.is_refuted(told.revision.epoch):
            meter.news.inc({'of': NAME, 'result': 'old'})
            return
        self._overlap.note(told.revision)
        # Each order by its own revision, whatever else is told.
        self._drained.apply_newer(told.drains)
        self._hear_drains(told.revision)
        known = self._revision
        if known is None and self.in_force.apply(told):
            self._begin(told)
            return
        if known is None or told.configuration < self.in_force.number:
            meter.news.inc({'of': NAME, 'result': 'old'})
            return
        if self.in_force.is_less_than(told) and not self.in_force.apply(told):
            # The revision known here stays, so that no edit is passed over.
            meter.news.inc({'of': NAME, 'result': 'newer'})
            self._fetch(told)
            return
        if told.revision < known:
            meter.news.inc({'of': NAME, 'result': 'old'})
            return
        if self._drained.has_unlisted_drain(told.drains, told.revision):
            # Followed, it would hide for good that an order was taken back.
            meter.news.inc({'of': NAME, 'result': 'gap'})
            self._turn.within(ANEW_S, is_behind=True)
            return
        meter.news.inc({'of': NAME, 'result': 'taken'})
        self._follow(told)

    def _hear_drains(self, told: revision_lib.Revision) -> None:
        """Looks for orders that are newer than how far the source has come."""
        newest = self._drained.newest
        if told.epoch < newest.epoch:
            # Told late, or the order is faulty: the source has to say.
            self._turn.within(ANEW_S)
        else:
            self._correct_drains(newest, told)

    def _begin(self, told: news_lib.ConfigurationNews) -> None:
        """Begins with what another gateway has told whole."""
        self._holder.confirm()
        if self._drained.has_unlisted_drain(told.drains, told.revision):
            # Followed, it would hide for good that an order was taken back.
            self._turn.within(ANEW_S, is_behind=True)
            return
        self._enter(told.revision, told.teller)

    def _fetch(self, told: news_lib.ConfigurationNews) -> None:
        """Asks for a configuration that another gateway has.

        Of the source, or of the other gateways if the source has lost it and
        lists an older one, however often it is asked.
        """
        if told.configuration == self._lacking and self._on_lack is not None:
            now = asyncio.get_running_loop().time()
            if now >= self._ask_others_s:
                self._ask_others_s = now + ASK_OTHERS_S
                self._on_lack()
            return
        self._wanted = told.configuration
        self._turn.hurry()

    def _follow(self, told: news_lib.ConfigurationNews) -> None:
        """Takes how far the source has come, from another gateway."""
        known = self._revision
        self._enter(told.revision, told.teller)
        self._holder.confirm()
        newest = self._epochs.newest
        if told.revision.epoch > newest:
            # Its word counts; but whether the source is there, only the source
            # can say.
            if known is not None:
                self._epochs.hear(NAME, told.teller, known, told.revision)
            self._turn.within(ANEW_S)
        elif told.revision.epoch < self._drained.newest.epoch:
            # The source has to say of the newer order; the call is due already.
            return
        elif told.revision.epoch == newest and not told.is_echo:
            self._turn.heard(
                asyncio.get_running_loop().time(),
                is_first=self._node < told.teller,
            )

    async def _look(self) -> None:
        loop = asyncio.get_running_loop()
        known = self._revision
        is_ended = known is not None and known.epoch < self._epochs.newest
        # Behind it may lie many edits, each told with its whole document, and
        # only the newest counts.
        after = None if is_ended or self._turn.is_behind else known
        newest_drain = self._drained.newest
        try:
            found = await self._ask(after, self._wait_s)
        except error.StaleAnswerError:
            self._turn.failed(loop.time())
            return
        except error.SourceError as exc:
            self._health.lose(NAME, str(exc))
            self._turn.failed(loop.time())
            if self._revision is None and self._on_lack is not None:
                self._on_lack()
            return
        self._health.regain(NAME)
        if found is None:
            self._end_feed(known)
            return
        if found.revision.epoch < self._epochs.newest:
            # Told of a newer one by another call meanwhile.
            return
        if known is not None and found.revision < known:
            self._note_ahead(known, found.revision)
            self._overlap.forget()
            self._turn.ended(loop.time(), at_once=False)
            self._revision = None
            return
        self._holder.confirm()
        self._take(found)
        if self._correct_drains(newest_drain, found.revision):
            return
        if self._revision is None or found.revision > self._revision:
            self._enter(found.revision, 'store')
        if self._turn.answered(loop.time()):
            self._tell()
        elif found.items and not found.is_whole:
            self._overlap.offer(found.revision, self._tell_late)

    def _end_feed(self, known: revision_lib.Revision | None) -> None:
        """Meets a source that doesn't tell on from what was known."""
        if self._revision != known:
            # Another gateway has told of a newer epoch meanwhile.
            return
        newest = self._epochs.newest
        if known is not None and known.epoch == newest:
            event.note(event.StoreHistoryLost(NAME, str(known)))
        elif known is not None and known.epoch > newest:
            self._note_ahead(known, revision_lib.Revision(newest, 0))
        self._turn.ended(asyncio.get_running_loop().time())
        self._revision = None

    def _note_ahead(
        self, known: revision_lib.Revision, found: revision_lib.Revision
    ) -> None:
        event.note(event.VersionAhead(NAME, str(known), str(found)))

    def _enter(self, revision: revision_lib.Revision, source: str) -> None:
        """Takes up to which revision everything is known."""
        before, self._listed = self._listed, revision
        self._revision = revision
        if before is None or before.epoch == revision.epoch:
            return
        meter.epochs.inc({'what': 'listed'})
        event.note(
            event.TableListed(
                NAME,
                source,
                str(before),
                str(revision),
                len(self._drained.drains),
            )
        )

    def _take(self, found: source.Found[source.OperatorItem]) -> None:
        drains, held = [], 0
        self.in_force.bound(found.revision)
        for item in found.items:
            if isinstance(item, zones.Drain):
                drains.append(item)
            else:
                held = max(held, self.in_force.install(item))
        self._drained.enter_epoch(found.revision)
        if found.is_whole and self._is_overruled:
            self._drained.override_newer(drains, found.revision)
            self._is_overruled = False
        if found.is_whole:
            self._drained.replace(drains, found.revision)
            self._lacking = self._wanted if held < self._wanted else 0
        else:
            self._turn.told_on()
            self._drained.apply_newer(drains)
        if 0 < held < self.in_force.number:
            event.note(event.ConfigurationKept(self.in_force.number, held))

    def _correct_drains(
        self, known: revision_lib.Revision, told: revision_lib.Revision
    ) -> bool:
        """Has all listed where the source does not come to an order.

        The order is faulty then, and what the source lists takes its place. Not
        at the first answer, which may be one that is told late.

        Returns:
          Whether all is to be listed.
        """
        now = asyncio.get_running_loop().time()
        if known <= told:
            self._ahead_s = None
        elif self._ahead_s is None:
            self._ahead_s = now
        elif now - self._ahead_s > AHEAD_S:
            event.note(event.VersionAhead('zones', str(known), str(told)))
            self._is_overruled = True
            self._ahead_s = self._revision = None
            self._turn.hurry()
            return True
        return False

    def _tell_late(self) -> None:
        if self._revision is not None:
            self._tell()

    def _tell(self) -> None:
        if self._announce is not None:
            self._announce(self._news(self.in_force.patch))
