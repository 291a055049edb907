"""Keeps the active configuration and the drained zones up to date.

One gateway at a time has a call at the source that waits for a change. It sends
its peers the number of the newest configuration, and for a while after a change
a patch from the one before. A gateway that cannot apply the patch reads the
configuration from the source.
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
# Shares of the time in which a change must be active. A call waits for
# `WAIT_SHARE`, so that a connection that has gone silent is noticed. A gateway
# that has received no update polls after `MIN_DELAY_SHARE` and up to
# `JITTER_SHARE` more, which leaves time to read.
WAIT_SHARE = 0.3
MIN_DELAY_SHARE = 0.5
JITTER_SHARE = 0.25
# The polling gateway polls again after this delay. Two that were answered at
# the same time have received the update of the other by then. Without the delay
# each would leave the polling to the other, and both would stop.
REPOLL_DELAY_S = 0.03
# A drain order that is ahead of the source for this long is faulty: the source
# is never behind its own state for longer.
MAX_AHEAD_S = 5.0
# In a new epoch of the source a gateway polls within this time, unless a peer
# has sent an update by then.
RELIST_JITTER_S = 1.0
# Minimum time between two requests to peers for a configuration that the source
# does not have. Each peer answers: if the answer cannot be used either, such as
# a document that only a later release can parse, every answer would cause
# further requests.
PEER_QUERY_INTERVAL_S = 1.0


class Configuration:
    """Follows the source of configuration; one task runs `run`.

    Attributes:
      active: The active document.
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
        """Prepares to follow the source.

        Args:
          poll: Polls the source for documents and for drain orders.
          parse: Builds a routing table from a document.
          holder: Receives each newer table.
          drained_zones: Receives the drain orders.
          health: Updated with whether the source answers.
          gateway_count: Returns how many gateways follow the source together.
          max_delay_s: Time in which a change must be active, in seconds.
          rng: Draws the times of polls.
          epochs: Tracks the epoch of the source; None if it reports none.
          node: Name of this gateway.
        """
        self._poll_source = poll
        self._node = node
        self._holder = holder
        self.active = active_document.ActiveDocument(parse, holder)
        self._drained_zones = drained_zones
        self._ahead_since_s: float | None = None
        # Whether the next snapshot overrides the known drain orders.
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
        """Sets the function that sends updates to the peers."""
        self._announce = announce

    def on_missing(self, callback: Callable[[], None]) -> None:
        """Sets a callback for when a configuration must be got from peers.

        Either nothing is known and the source does not answer, or peers
        announce a configuration that the source does not have.
        """
        self._on_missing = callback

    def snapshot(self) -> update_lib.ConfigurationUpdate | None:
        """Returns the complete state, for a gateway that has none."""
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
            # A drain order newer than the revision would make the update
            # malformed.
            tuple(
                drain for drain in drains if drain.revision <= self._revision
            ),
            mod_revision=min(self.active.mod_revision, self._revision),
            digest=self.active.digest,
        )

    async def run(self) -> None:
        """Polls whenever a poll is due, until cancelled."""
        while True:
            await self._schedule.wait()
            await self._poll()

    def handle_update(self, update: update_lib.ConfigurationUpdate) -> None:
        """Handles an update from a peer."""
        if self._epochs.is_refuted(update.revision.epoch):
            meter.updates.inc({'of': NAME, 'result': 'old'})
            return
        self._deferred.note_announced(update.revision)
        # Each order is compared by its own revision, whatever else is in the
        # update.
        self._drained_zones.apply_newer(update.drains)
        self._check_drains(update.revision)
        known = self._revision
        if known is None and self.active.apply(update):
            self._apply_first(update)
            return
        if known is None or update.number < self.active.number:
            meter.updates.inc({'of': NAME, 'result': 'old'})
            return
        if self.active.is_superseded_by(update) and not self.active.apply(
            update
        ):
            # The known revision stays, so that no edit is skipped.
            meter.updates.inc({'of': NAME, 'result': 'newer'})
            self._fetch(update)
            return
        if update.revision < known:
            meter.updates.inc({'of': NAME, 'result': 'old'})
            return
        if self._drained_zones.has_unlisted_drain(
            update.drains, update.revision
        ):
            # Advancing would hide for good that a drain order was cancelled.
            meter.updates.inc({'of': NAME, 'result': 'gap'})
            self._schedule.poll_within(RELIST_JITTER_S, is_behind=True)
            return
        meter.updates.inc({'of': NAME, 'result': 'taken'})
        self._advance(update)

    def _check_drains(self, reported: revision_lib.Revision) -> None:
        """Checks for drain orders newer than the revision of the source."""
        newest = self._drained_zones.newest
        if reported.epoch < newest.epoch:
            # The update is late, or the order is faulty: only the source can
            # say.
            self._schedule.poll_within(RELIST_JITTER_S)
        else:
            self._relist_if_ahead(newest, reported)

    def _apply_first(self, update: update_lib.ConfigurationUpdate) -> None:
        """Starts from the first complete update of a peer."""
        self._holder.confirm()
        if self._drained_zones.has_unlisted_drain(
            update.drains, update.revision
        ):
            # Advancing would hide for good that a drain order was cancelled.
            self._schedule.poll_within(RELIST_JITTER_S, is_behind=True)
            return
        self._set_revision(update.revision, update.sender)

    def _fetch(self, update: update_lib.ConfigurationUpdate) -> None:
        """Requests a configuration that a peer has announced.

        From the source, or from the peers if the source has lost it and returns
        an older one however often it is polled.
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
        """Advances to the revision of the source that a peer has sent."""
        known = self._revision
        self._set_revision(update.revision, update.sender)
        self._holder.confirm()
        newest = self._epochs.newest
        if update.revision.epoch > newest:
            # The update is applied, but only the source can say whether it is
            # in that epoch.
            if known is not None:
                self._epochs.note_peer_epoch(
                    NAME, update.sender, known, update.revision
                )
            self._schedule.poll_within(RELIST_JITTER_S)
        elif update.revision.epoch < self._drained_zones.newest.epoch:
            # Only the source can confirm the newer order; the poll is already
            # due.
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
        # Many edits may follow the known revision, each with its complete
        # document, and only the newest is needed.
        after = None if is_epoch_over or self._schedule.is_behind else known
        newest_drain = self._drained_zones.newest
        try:
            result = await self._poll_source(after, self._wait_s)
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
        if result is None:
            self._handle_lost_history(known)
            return
        if result.revision.epoch < self._epochs.newest:
            # Another call has reported a newer epoch meanwhile.
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
        """Handles a source that cannot continue from the known revision."""
        if self._revision != known:
            # A peer has reported a newer epoch meanwhile.
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
        """Sets the revision up to which everything is known."""
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
        self._drained_zones.enter_epoch(result.revision)
        if result.is_snapshot and self._overrules_drains:
            self._drained_zones.override_newer(drains, result.revision)
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
            self._drained_zones.apply_newer(drains)
        if 0 < listed_number < self.active.number:
            event.note(
                event.ConfigurationKept(self.active.number, listed_number)
            )

    def _relist_if_ahead(
        self, known: revision_lib.Revision, current: revision_lib.Revision
    ) -> bool:
        """Requests a snapshot if a drain order stays ahead of the source.

        Such an order is faulty, and the snapshot replaces it. The first older
        answer is not enough, since it may have arrived late.

        Returns:
          Whether a snapshot was requested.
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
