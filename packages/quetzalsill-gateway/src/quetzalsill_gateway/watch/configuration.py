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
from quetzalsill_gateway.watch import active_document, deferred, epoch
from quetzalsill_gateway.watch import schedule as schedule_lib
from quetzalsill_gateway.watch import update as update_lib

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
        ask: source.Poll[source.OperatorItem],
        read: source.ParseDocument,
        holder: source.RoutingTableHolder,
        drained: zones.Zones,
        health: source.Health,
        sharers: Callable[[], int],
        bound_s: float,
        rng: random.Random | None = None,
        epochs: epoch.EpochTracker | None = None,
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
        self.active = active_document.ActiveDocument(read, holder)
        self._drained = drained
        self._ahead_s: float | None = None
        # Whether the next list counts whatever is known of zones.
        self._is_overruled = False
        self._health = health
        self._wait_s = WAIT * bound_s
        self._epochs = epochs or epoch.EpochTracker()
        self._epochs.on_change(lambda: self._schedule.poll_within(ANEW_S))
        self._revision: revision_lib.Revision | None = None
        self._listed: revision_lib.Revision | None = None
        self._wanted = self._lacking = 0
        self._deferred = deferred.DeferredAnnouncement(sharers, rng)
        self._ask_others_s = 0.0
        pace = schedule_lib.PollIntervals(
            LEAST * bound_s, SPREAD * bound_s, ASK_ON_S
        )
        self._schedule = schedule_lib.PollSchedule(pace, sharers, rng)
        self._announce: Callable[[update_lib.Update], None] | None = None
        self._on_missing: Callable[[], None] | None = None

    def set_announcer(
        self, announce: Callable[[update_lib.Update], None]
    ) -> None:
        """Sets what tells the other gateways."""
        self._announce = announce

    def on_missing(self, callback: Callable[[], None]) -> None:
        """Calls back when nothing is known and the source does not answer."""
        self._on_missing = callback

    def snapshot(self) -> update_lib.ConfigurationUpdate | None:
        """Returns all that is known, for a gateway that knows nothing."""
        document = self.active.snapshot()
        if self._revision is None or document is None:
            return None
        return self._news(document)

    def _news(self, patch: bytes) -> update_lib.ConfigurationUpdate:
        drains = self._drained.drains
        return update_lib.ConfigurationUpdate(
            self._revision,
            self.active.number,
            patch,
            # One that is newer than the rest would make all of it malformed.
            tuple(one for one in drains if one.revision <= self._revision),
            mod_revision=min(self.active.mod_revision, self._revision),
            digest=self.active.digest,
        )

    async def run(self) -> None:
        """Asks whenever it is this gateway's turn; runs until cancelled."""
        while True:
            await self._schedule.wait()
            await self._look()

    def handle_update(self, told: update_lib.ConfigurationUpdate) -> None:
        """Takes what another gateway was told."""
        if self._epochs.is_refuted(told.revision.epoch):
            meter.updates.inc({'of': NAME, 'result': 'old'})
            return
        self._deferred.note_announced(told.revision)
        # Each order by its own revision, whatever else is told.
        self._drained.apply_newer(told.drains)
        self._hear_drains(told.revision)
        known = self._revision
        if known is None and self.active.apply(told):
            self._begin(told)
            return
        if known is None or told.number < self.active.number:
            meter.updates.inc({'of': NAME, 'result': 'old'})
            return
        if self.active.is_superseded_by(told) and not self.active.apply(told):
            # The revision known here stays, so that no edit is passed over.
            meter.updates.inc({'of': NAME, 'result': 'newer'})
            self._fetch(told)
            return
        if told.revision < known:
            meter.updates.inc({'of': NAME, 'result': 'old'})
            return
        if self._drained.has_unlisted_drain(told.drains, told.revision):
            # Followed, it would hide for good that an order was taken back.
            meter.updates.inc({'of': NAME, 'result': 'gap'})
            self._schedule.poll_within(ANEW_S, is_behind=True)
            return
        meter.updates.inc({'of': NAME, 'result': 'taken'})
        self._follow(told)

    def _hear_drains(self, told: revision_lib.Revision) -> None:
        """Looks for orders that are newer than how far the source has come."""
        newest = self._drained.newest
        if told.epoch < newest.epoch:
            # Told late, or the order is faulty: the source has to say.
            self._schedule.poll_within(ANEW_S)
        else:
            self._correct_drains(newest, told)

    def _begin(self, told: update_lib.ConfigurationUpdate) -> None:
        """Begins with what another gateway has told whole."""
        self._holder.confirm()
        if self._drained.has_unlisted_drain(told.drains, told.revision):
            # Followed, it would hide for good that an order was taken back.
            self._schedule.poll_within(ANEW_S, is_behind=True)
            return
        self._enter(told.revision, told.sender)

    def _fetch(self, told: update_lib.ConfigurationUpdate) -> None:
        """Asks for a configuration that another gateway has.

        Of the source, or of the other gateways if the source has lost it and
        lists an older one, however often it is asked.
        """
        if told.number == self._lacking and self._on_missing is not None:
            now = asyncio.get_running_loop().time()
            if now >= self._ask_others_s:
                self._ask_others_s = now + ASK_OTHERS_S
                self._on_missing()
            return
        self._wanted = told.number
        self._schedule.poll_now()

    def _follow(self, told: update_lib.ConfigurationUpdate) -> None:
        """Takes how far the source has come, from another gateway."""
        known = self._revision
        self._enter(told.revision, told.sender)
        self._holder.confirm()
        newest = self._epochs.newest
        if told.revision.epoch > newest:
            # Its word counts; but whether the source is there, only the source
            # can say.
            if known is not None:
                self._epochs.note_peer_epoch(
                    NAME, told.sender, known, told.revision
                )
            self._schedule.poll_within(ANEW_S)
        elif told.revision.epoch < self._drained.newest.epoch:
            # The source has to say of the newer order; the call is due already.
            return
        elif told.revision.epoch == newest and not told.is_repeat:
            self._schedule.note_peer_answer(
                asyncio.get_running_loop().time(),
                is_first=self._node < told.sender,
            )

    async def _look(self) -> None:
        loop = asyncio.get_running_loop()
        known = self._revision
        is_ended = known is not None and known.epoch < self._epochs.newest
        # Behind it may lie many edits, each told with its whole document, and
        # only the newest counts.
        after = None if is_ended or self._schedule.is_behind else known
        newest_drain = self._drained.newest
        try:
            found = await self._ask(after, self._wait_s)
        except error.StaleResponseError:
            self._schedule.note_failure(loop.time())
            return
        except error.SourceError as exc:
            self._health.mark_down(NAME, str(exc))
            self._schedule.note_failure(loop.time())
            if self._revision is None and self._on_missing is not None:
                self._on_missing()
            return
        self._health.mark_up(NAME)
        if found is None:
            self._end_feed(known)
            return
        if found.revision.epoch < self._epochs.newest:
            # Told of a newer one by another call meanwhile.
            return
        if known is not None and found.revision < known:
            self._note_ahead(known, found.revision)
            self._deferred.reset()
            self._schedule.note_resync(loop.time(), at_once=False)
            self._revision = None
            return
        self._holder.confirm()
        self._take(found)
        if self._correct_drains(newest_drain, found.revision):
            return
        if self._revision is None or found.revision > self._revision:
            self._enter(found.revision, 'store')
        if self._schedule.note_answer(loop.time()):
            self._tell()
        elif found.items and not found.is_snapshot:
            self._deferred.schedule(found.revision, self._tell_late)

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
        self._schedule.note_resync(asyncio.get_running_loop().time())
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

    def _take(self, found: source.PollResult[source.OperatorItem]) -> None:
        drains, held = [], 0
        self.active.cap_revision(found.revision)
        for item in found.items:
            if isinstance(item, zones.Drain):
                drains.append(item)
            else:
                held = max(held, self.active.install(item))
        self._drained.enter_epoch(found.revision)
        if found.is_snapshot and self._is_overruled:
            self._drained.override_newer(drains, found.revision)
            self._is_overruled = False
        if found.is_snapshot:
            self._drained.replace(drains, found.revision)
            self._lacking = self._wanted if held < self._wanted else 0
        else:
            self._schedule.note_resumed()
            self._drained.apply_newer(drains)
        if 0 < held < self.active.number:
            event.note(event.ConfigurationKept(self.active.number, held))

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
            self._schedule.poll_now()
            return True
        return False

    def _tell_late(self) -> None:
        if self._revision is not None:
            self._tell()

    def _tell(self) -> None:
        if self._announce is not None:
            self._announce(self._news(self.active.patch))
