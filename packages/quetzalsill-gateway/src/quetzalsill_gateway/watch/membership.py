"""Keeps the upstreams up to date from the source and from peers.

A drain notice that arrives late costs the runs of the engine that leaves. So
one gateway at any time has a call at the source that waits for a change, and
sends the result to its peers at once (`watch.schedule`).
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_gateway import error, event, meter
from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.watch import change_log as change_log_lib
from quetzalsill_gateway.watch import deferred, epoch
from quetzalsill_gateway.watch import schedule as schedule_lib
from quetzalsill_gateway.watch import update as update_lib

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from quetzalsill_gateway import source
    from quetzalsill_gateway.fleet import upstream

__all__ = ['Membership']

NAME = 'membership'
# How long a call waits for a change at the source. If its connection has gone
# silent, it ends only after that.
WAIT_S = 0.4
# A gateway that has received no update for this long polls by itself: `WAIT_S`,
# the time of a call to a slow source, and a random delay. Upstreams that leave
# go on serving for at least 1.5 s after their notice; if the polling gateway is
# lost, some of that time is left.
MIN_DELAY_S = 0.75
JITTER_S = 0.4
# The polling gateway polls again after this delay, which includes changes that
# come with the announced ones, and limits its calls where entries change all
# the time.
REPOLL_DELAY_S = 0.03
# In a new epoch of the source every gateway has to list all entries again, and
# all notice it at the same time. Each waits for a random time up to this; the
# first that has the list sends it to the others, which then need not poll.
RELIST_JITTER_S = 1.0
# Entries in a snapshot that is sent in one datagram, about 100 bytes each; if
# there are more, each gateway polls by itself.
MAX_SNAPSHOT_ENTRIES = 160
# Share of the time in which a notice must be known, after which a gateway that
# receives no updates polls at the latest.
MAX_DELAY_SHARE = 0.75


class Membership:
    """Follows the source of membership; one task runs `run`."""

    def __init__(
        self,
        poll: source.Poll[upstream.Change],
        upstreams: upstream.Upstreams,
        health: source.Health,
        max_delay_s: float,
        rng: random.Random | None = None,
        epochs: epoch.EpochTracker | None = None,
        node: str = '',
    ) -> None:
        """Prepares to follow the source.

        Args:
          poll: Polls the source.
          upstreams: Kept up to date.
          health: Updated with whether the source answers.
          max_delay_s: Time in which a change must be known, in seconds.
          rng: Draws the times of polls.
          epochs: Tracks the epoch of the source; None if it reports none.
          node: Name of this gateway.
        """
        self._poll_source = poll
        self._node = node
        self._upstreams = upstreams
        self._health = health
        self._epochs = epochs or epoch.EpochTracker()
        self._epochs.on_change(
            lambda: self._schedule.poll_within(RELIST_JITTER_S)
        )
        self._revision: revision_lib.Revision | None = None
        self._listed_revision: revision_lib.Revision | None = None
        # The last known revision when the source could not continue from it. An
        # older snapshot from a peer is not used.
        self._min_revision = revision_lib.NONE
        self._change_log = change_log_lib.ChangeLog()
        self._deferred = deferred.DeferredAnnouncement(
            lambda: upstreams.gateway_count, rng
        )
        scale = min(
            1.0, MAX_DELAY_SHARE * max_delay_s / (MIN_DELAY_S + JITTER_S)
        )
        self._wait_s = scale * WAIT_S
        intervals = schedule_lib.PollIntervals(
            scale * MIN_DELAY_S, scale * JITTER_S, REPOLL_DELAY_S
        )
        self._schedule = schedule_lib.PollSchedule(
            intervals, lambda: upstreams.gateway_count, rng
        )
        self._announce: Callable[[update_lib.Update], None] | None = None
        self._on_missing: Callable[[], None] | None = None

    def set_announcer(
        self, announce: Callable[[update_lib.Update], None]
    ) -> None:
        """Sets the function that sends updates to the peers."""
        self._announce = announce

    def on_missing(self, callback: Callable[[], None]) -> None:
        """Sets a callback for when nothing is known and the source is down."""
        self._on_missing = callback

    def snapshot(self) -> update_lib.MembershipUpdate | None:
        """Returns all entries, for a gateway that has none."""
        if self._revision is None:
            return None
        return update_lib.MembershipUpdate(
            update_lib.BEGINNING,
            self._revision,
            self._change_log.entries(self._revision),
            self._upstreams.lapse_grace_left_s,
        )

    async def run(self) -> None:
        """Polls whenever a poll is due, until cancelled."""
        while True:
            await self._schedule.wait()
            await self._poll()

    def handle_update(self, update: update_lib.MembershipUpdate) -> None:
        """Handles an update from a peer."""
        if self._epochs.is_refuted(update.revision.epoch):
            meter.updates.inc({'of': NAME, 'result': 'old'})
            return
        self._deferred.note_announced(update.revision)
        if not self._apply_update(update):
            return
        if update.revision.epoch > self._epochs.newest:
            # The update is applied, but only the source can say whether it is
            # in that epoch.
            self._schedule.poll_within(RELIST_JITTER_S)
        elif (
            update.revision.epoch == self._epochs.newest
            and not update.is_repeat
        ):
            self._schedule.note_peer_answer(
                asyncio.get_running_loop().time(),
                has_priority=self._node < update.sender,
            )

    def _apply_update(self, update: update_lib.MembershipUpdate) -> bool:
        """Applies an update; returns whether it was of use."""
        known = self._revision
        if self._is_first_snapshot(update) or self._is_newer_snapshot(update):
            self._apply_snapshot(update, known)
            return True
        if known is None or update.revision < known:
            meter.updates.inc({'of': NAME, 'result': 'old'})
            return False
        if _is_gap(update, known):
            # Datagrams were lost, so the changes in between are missing here.
            meter.updates.inc({'of': NAME, 'result': 'gap'})
            if update.revision.epoch > known.epoch:
                self._epochs.note_peer_epoch(
                    NAME, update.sender, known, update.revision
                )
                self._schedule.poll_within(RELIST_JITTER_S, is_behind=True)
            else:
                self._schedule.poll_now()
            return False
        meter.updates.inc({'of': NAME, 'result': 'taken'})
        if update.grace_s > 0:
            self._upstreams.start_lapse_grace(update.grace_s)
        fresh = [one for one in update.changes if one.revision > known]
        self._apply_changes(fresh, known, update.revision)
        return True

    def _is_first_snapshot(self, update: update_lib.MembershipUpdate) -> bool:
        """Whether a snapshot may be used while no revision is known.

        A gateway that was partitioned off may send one from before the last
        known revision, with upstreams that have ended since.
        """
        is_unsynced = self._revision is None
        return (
            is_unsynced
            and update.is_snapshot
            and update.revision >= self._min_revision
        )

    def _is_newer_snapshot(self, update: update_lib.MembershipUpdate) -> bool:
        """Whether a snapshot is newer than what is known.

        An empty one is not used but left to the source to confirm: from a
        faulty sender it would leave no upstream to serve.
        """
        return (
            update.is_snapshot
            and bool(update.changes)
            and update.revision > (self._revision or self._min_revision)
        )

    def _apply_snapshot(
        self,
        update: update_lib.MembershipUpdate,
        known: revision_lib.Revision | None,
    ) -> None:
        """Starts over from a snapshot that a peer has sent."""
        meter.updates.inc({'of': NAME, 'result': 'whole'})
        if known is not None:
            self._epochs.note_peer_epoch(
                NAME, update.sender, known, update.revision
            )
        if update.grace_s > 0:
            self._upstreams.start_lapse_grace(update.grace_s)
        self._replace_all(list(update.changes), update.revision, update.sender)

    async def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        known = self._revision
        is_epoch_over = known is not None and known.epoch < self._epochs.newest
        try:
            result = await self._poll_source(
                None if is_epoch_over else known, self._wait_s
            )
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
        newest = self._revision
        if newest is not None and result.revision < newest:
            self._handle_older_answer(known, result.revision)
            return
        is_new_epoch = result.is_snapshot and self._is_new_epoch(
            result.revision
        )
        fresh: list[upstream.Change] = []
        if result.is_snapshot:
            self._replace_all(result.items, result.revision, 'store')
        else:
            self._schedule.note_resumed()
            # Without what peers have sent meanwhile, up to `newest`.
            fresh = [one for one in result.items if one.revision > newest]
            self._apply_changes(fresh, newest, result.revision)
        if self._schedule.note_answer(loop.time()):
            self._publish(is_new_epoch=is_new_epoch)
        elif fresh:
            self._deferred.schedule(result.revision, self._publish_deferred)

    def _handle_lost_history(self, known: revision_lib.Revision | None) -> None:
        """Handles a source that cannot continue from the known revision."""
        if self._revision != known:
            # A peer has sent a snapshot meanwhile.
            return
        newest = self._epochs.newest
        if known is not None and known.epoch == newest:
            event.note(event.StoreHistoryLost(NAME, str(known)))
        elif known is not None and known.epoch > newest:
            current = revision_lib.Revision(newest, 0)
            event.note(event.VersionAhead(NAME, str(known), str(current)))
        self._schedule.note_resync(asyncio.get_running_loop().time())
        if known is not None and known.epoch <= newest:
            self._min_revision = known
        self._revision = None

    def _handle_older_answer(
        self,
        known: revision_lib.Revision | None,
        answered: revision_lib.Revision,
    ) -> None:
        """Handles an answer that is older than the known revision.

        Peers may have sent newer updates while the call was in flight. But an
        answer always includes what was known when the call was sent: a revision
        above it can only come from a faulty datagram, and would hide all
        changes until the source reached it.
        """
        if known is not None and answered < known:
            event.note(event.VersionAhead(NAME, str(known), str(answered)))
            now = asyncio.get_running_loop().time()
            self._schedule.note_resync(now, is_expected=False)
            self._deferred.reset()
            self._min_revision = revision_lib.NONE
            self._revision = None

    def _is_new_epoch(self, revision: revision_lib.Revision) -> bool:
        return (
            self._listed_revision is not None
            and self._listed_revision.epoch != revision.epoch
        )

    def _replace_all(
        self,
        changes: list[upstream.Change],
        revision: revision_lib.Revision,
        origin: str,
    ) -> None:
        if self._is_new_epoch(revision):
            # The restored copy lacks the latest entries, which are written
            # again.
            self._upstreams.start_lapse_grace()
            self._upstreams.suspect_ended(changes)
            self._log_relist(changes, revision, origin)
        self._upstreams.mark_confirmed()
        self._upstreams.replace(changes, revision)
        self._change_log.reset(changes, revision)
        self._revision = self._listed_revision = revision
        self._min_revision = revision_lib.NONE

    def _log_relist(
        self,
        changes: list[upstream.Change],
        revision: revision_lib.Revision,
        origin: str,
    ) -> None:
        meter.epochs.inc({'what': 'listed'})
        event.note(
            event.TableListed(
                NAME,
                origin,
                str(self._listed_revision),
                str(revision),
                len(changes),
            )
        )

    def _apply_changes(
        self,
        changes: list[upstream.Change],
        before: revision_lib.Revision,
        revision: revision_lib.Revision,
    ) -> None:
        self._upstreams.mark_confirmed()
        self._revision = revision
        now = asyncio.get_running_loop().time()
        for change in self._change_log.record(now, before, changes):
            self._upstreams.apply(change)

    def _publish_deferred(self) -> None:
        if self._revision is not None:
            self._publish(is_new_epoch=False)

    def _publish(self, *, is_new_epoch: bool) -> None:
        if self._announce is None:
            return
        snapshot = self.snapshot()
        if is_new_epoch and len(snapshot.changes) <= MAX_SNAPSHOT_ENTRIES:
            # No peer can continue from the epoch before.
            self._announce(snapshot)
            return
        self._announce(
            update_lib.MembershipUpdate(
                self._change_log.since,
                self._revision,
                self._change_log.changes,
                self._upstreams.lapse_grace_left_s,
            )
        )


def _is_gap(
    update: update_lib.MembershipUpdate, known: revision_lib.Revision
) -> bool:
    """Whether changes after the known revision are missing from an update.

    Changes never lead from one epoch to the next, nor from the known revision
    to a snapshot that is not used.
    """
    is_newer_snapshot = update.is_snapshot and update.revision > known
    is_newer_epoch = update.revision.epoch > known.epoch
    return is_newer_snapshot or is_newer_epoch or update.since > known
