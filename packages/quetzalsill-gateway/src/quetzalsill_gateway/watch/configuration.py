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
# `WAIT_SHARE`, so that one whose connection has fallen silent is noticed; who
# has heard nothing asks itself between `MIN_DELAY_SHARE` and that plus
# `JITTER_SHARE`, which leaves
# time to read.
WAIT_SHARE = 0.3
MIN_DELAY_SHARE = 0.5
JITTER_SHARE = 0.25
# Whoever watches asks on after so long. Two that were answered at the same time
# have heard of each other by then; at once, each would take the other's word
# for that of who watches from now on, and both would stop.
REPOLL_DELAY_S = 0.03
# An order to drain a zone that is newer than what the source has come to for
# this long is a sender's fault: the source is never behind itself for longer.
MAX_AHEAD_S = 5.0
# Draw of the time at which a gateway asks in a new epoch of the source, unless
# another has told by then.
RELIST_JITTER_S = 1.0
# Others are asked for a configuration that the source lacks this rarely. Each
# answers: if that makes nothing here either, such as one that only a later
# release can read, every answer would be met with further questions.
PEER_QUERY_INTERVAL_S = 1.0


class Configuration:
    """Follows the source of configuration; one task runs `run`.

    Attributes:
      in_force: The document in force.
    """

    def __init__(
        self,
        poll: source.Poll[source.OperatorItem],
        parse: source.ParseDocument,
        holder: source.RoutingTableHolder,
        drained_zones: zones.Zones,
        health: source.Health,
        gateway_count: Callable[[], int],
        max_delay_s: float,
        rng: random.Random | None = None,
        epochs: epoch.EpochTracker | None = None,
        node: str = '',
    ) -> None:
        """Prepares to follow.

        Args:
          poll: Asks the source for documents and for orders to drain zones.
          parse: Makes a routing table of a document.
          holder: Takes each newer one.
          drained_zones: Takes the orders.
          health: Told whether the source answers.
          gateway_count: Returns how many gateways tell each other.
          max_delay_s: Time in which a change must be in force, in seconds.
          rng: Draws the times of calls.
          epochs: The epoch that the source has told; None if it tells none.
          node: Name of this gateway.
        """
        self._poll_source = poll
        self._node = node
        self._holder = holder
        self.active = active_document.ActiveDocument(parse, holder)
        self._drained_zones = drained_zones
        self._ahead_since_s: float | None = None
        # Whether the next list counts whatever is known of zones.
        self._overrules_drains = False
        self._health = health
        self._wait_s = WAIT_SHARE * max_delay_s
        self._epochs = epochs or epoch.EpochTracker()
        self._epochs.on_change(
            lambda: self._schedule.poll_within(RELIST_JITTER_S)
        )
        self._revision: revision_lib.Revision | None = None
        self._listed_revision: revision_lib.Revision | None = None
        self._wanted_number = self._missing_number = 0
        self._deferred = deferred.DeferredAnnouncement(gateway_count, rng)
        self._query_peers_after_s = 0.0
        intervals = schedule_lib.PollIntervals(
            MIN_DELAY_SHARE * max_delay_s,
            JITTER_SHARE * max_delay_s,
            REPOLL_DELAY_S,
        )
        self._schedule = schedule_lib.PollSchedule(
            intervals, gateway_count, rng
        )
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
        return self._make_update(document)

    def _make_update(self, patch: bytes) -> update_lib.ConfigurationUpdate:
        drains = self._drained_zones.drains
        return update_lib.ConfigurationUpdate(
            self._revision,
            self.active.number,
            patch,
            # One that is newer than the rest would make all of it malformed.
            tuple(
                drain for drain in drains if drain.revision <= self._revision
            ),
            mod_revision=min(self.active.mod_revision, self._revision),
            digest=self.active.digest,
        )

    async def run(self) -> None:
        """Asks whenever it is this gateway's turn; runs until cancelled."""
        while True:
            await self._schedule.wait()
            await self._poll()

    def handle_update(self, update: update_lib.ConfigurationUpdate) -> None:
        """Takes what another gateway was told."""
        if self._epochs.is_refuted(update.revision.epoch):
            meter.news.inc({'of': NAME, 'result': 'old'})
            return
        self._deferred.note_announced(update.revision)
        # Each order by its own revision, whatever else is told.
        self._drained_zones.hear(update.drains)
        self._check_drains(update.revision)
        known = self._revision
        if known is None and self.active.apply(update):
            self._apply_first(update)
            return
        if known is None or update.number < self.active.number:
            meter.news.inc({'of': NAME, 'result': 'old'})
            return
        if self.active.is_superseded_by(update) and not self.active.apply(
            update
        ):
            # The revision known here stays, so that no edit is passed over.
            meter.news.inc({'of': NAME, 'result': 'newer'})
            self._fetch(update)
            return
        if update.revision < known:
            meter.news.inc({'of': NAME, 'result': 'old'})
            return
        if self._drained_zones.is_missing(update.drains, update.revision):
            # Followed, it would hide for good that an order was taken back.
            meter.news.inc({'of': NAME, 'result': 'gap'})
            self._schedule.poll_within(RELIST_JITTER_S, is_behind=True)
            return
        meter.news.inc({'of': NAME, 'result': 'taken'})
        self._advance(update)

    def _check_drains(self, reported: revision_lib.Revision) -> None:
        """Looks for orders that are newer than how far the source has come."""
        newest = self._drained_zones.newest
        if reported.epoch < newest.epoch:
            # Told late, or the order is faulty: the source has to say.
            self._schedule.poll_within(RELIST_JITTER_S)
        else:
            self._relist_if_ahead(newest, reported)

    def _apply_first(self, update: update_lib.ConfigurationUpdate) -> None:
        """Begins with what another gateway has told whole."""
        self._holder.confirm()
        if self._drained_zones.is_missing(update.drains, update.revision):
            # Followed, it would hide for good that an order was taken back.
            self._schedule.poll_within(RELIST_JITTER_S, is_behind=True)
            return
        self._set_revision(update.revision, update.sender)

    def _fetch(self, update: update_lib.ConfigurationUpdate) -> None:
        """Asks for a configuration that another gateway has.

        Of the source, or of the other gateways if the source has lost it and
        lists an older one, however often it is asked.
        """
        if (
            update.number == self._missing_number
            and self._on_missing is not None
        ):
            now = asyncio.get_running_loop().time()
            if now >= self._query_peers_after_s:
                self._query_peers_after_s = now + PEER_QUERY_INTERVAL_S
                self._on_missing()
            return
        self._wanted_number = update.number
        self._schedule.poll_now()

    def _advance(self, update: update_lib.ConfigurationUpdate) -> None:
        """Takes how far the source has come, from another gateway."""
        known = self._revision
        self._set_revision(update.revision, update.sender)
        self._holder.confirm()
        newest = self._epochs.newest
        if update.revision.epoch > newest:
            # Its word counts; but whether the source is there, only the source
            # can say.
            if known is not None:
                self._epochs.note_peer_epoch(
                    NAME, update.sender, known, update.revision
                )
            self._schedule.poll_within(RELIST_JITTER_S)
        elif update.revision.epoch < self._drained_zones.newest.epoch:
            # The source has to say of the newer order; the call is due already.
            return
        elif update.revision.epoch == newest and not update.is_repeat:
            self._schedule.note_peer_answer(
                asyncio.get_running_loop().time(),
                has_priority=self._node < update.sender,
            )

    async def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        known = self._revision
        is_epoch_over = known is not None and known.epoch < self._epochs.newest
        # Behind it may lie many edits, each told with its whole document, and
        # only the newest counts.
        after = None if is_epoch_over or self._schedule.is_behind else known
        newest_drain = self._drained_zones.newest
        try:
            result = await self._poll_source(after, self._wait_s)
        except error.StaleAnswerError:
            self._schedule.note_failure(loop.time())
            return
        except error.SourceError as exc:
            self._health.mark_down(NAME, str(exc))
            self._schedule.note_failure(loop.time())
            if self._revision is None and self._on_missing is not None:
                self._on_missing()
            return
        self._health.mark_up(NAME)
        if result is None:
            self._handle_lost_history(known)
            return
        if result.revision.epoch < self._epochs.newest:
            # Told of a newer one by another call meanwhile.
            return
        if known is not None and result.revision < known:
            self._log_ahead(known, result.revision)
            self._deferred.reset()
            self._schedule.note_resync(loop.time(), is_expected=False)
            self._revision = None
            return
        self._holder.confirm()
        self._apply_result(result)
        if self._relist_if_ahead(newest_drain, result.revision):
            return
        if self._revision is None or result.revision > self._revision:
            self._set_revision(result.revision, 'store')
        if self._schedule.note_answer(loop.time()):
            self._publish()
        elif result.items and not result.is_snapshot:
            self._deferred.schedule(result.revision, self._publish_deferred)

    def _handle_lost_history(self, known: revision_lib.Revision | None) -> None:
        """Meets a source that doesn't tell on from what was known."""
        if self._revision != known:
            # Another gateway has told of a newer epoch meanwhile.
            return
        newest = self._epochs.newest
        if known is not None and known.epoch == newest:
            event.note(event.StoreHistoryLost(NAME, str(known)))
        elif known is not None and known.epoch > newest:
            self._log_ahead(known, revision_lib.Revision(newest, 0))
        self._schedule.note_resync(asyncio.get_running_loop().time())
        self._revision = None

    def _log_ahead(
        self, known: revision_lib.Revision, current: revision_lib.Revision
    ) -> None:
        event.note(event.VersionAhead(NAME, str(known), str(current)))

    def _set_revision(
        self, revision: revision_lib.Revision, origin: str
    ) -> None:
        """Takes up to which revision everything is known."""
        previous, self._listed_revision = self._listed_revision, revision
        self._revision = revision
        if previous is None or previous.epoch == revision.epoch:
            return
        meter.epochs.inc({'what': 'listed'})
        event.note(
            event.TableListed(
                NAME,
                origin,
                str(previous),
                str(revision),
                len(self._drained_zones.drains),
            )
        )

    def _apply_result(
        self, result: source.PollResult[source.OperatorItem]
    ) -> None:
        drains, listed_number = [], 0
        self.active.cap_revision(result.revision)
        for item in result.items:
            if isinstance(item, zones.Drain):
                drains.append(item)
            else:
                listed_number = max(listed_number, self.active.install(item))
        self._drained_zones.enter(result.revision)
        if result.is_snapshot and self._overrules_drains:
            self._drained_zones.overrule(drains, result.revision)
            self._overrules_drains = False
        if result.is_snapshot:
            self._drained_zones.replace(drains, result.revision)
            self._missing_number = (
                self._wanted_number
                if listed_number < self._wanted_number
                else 0
            )
        else:
            self._schedule.note_resumed()
            self._drained_zones.hear(drains)
        if 0 < listed_number < self.active.number:
            event.note(
                event.ConfigurationKept(self.active.number, listed_number)
            )

    def _relist_if_ahead(
        self, known: revision_lib.Revision, current: revision_lib.Revision
    ) -> bool:
        """Has all listed where the source does not come to an order.

        The order is faulty then, and what the source lists takes its place. Not
        at the first answer, which may be one that is told late.

        Returns:
          Whether all is to be listed.
        """
        now = asyncio.get_running_loop().time()
        if known <= current:
            self._ahead_since_s = None
        elif self._ahead_since_s is None:
            self._ahead_since_s = now
        elif now - self._ahead_since_s > MAX_AHEAD_S:
            event.note(event.VersionAhead('zones', str(known), str(current)))
            self._overrules_drains = True
            self._ahead_since_s = self._revision = None
            self._schedule.poll_now()
            return True
        return False

    def _publish_deferred(self) -> None:
        if self._revision is not None:
            self._publish()

    def _publish(self) -> None:
        if self._announce is not None:
            self._announce(self._make_update(self.active.patch))
