"""Keeps the upstreams by what the source tells, here or to another gateway.

The price of a notice that comes late is runs lost with their engine. So one
gateway at any time has a call at the source that waits for a change, and tells
the others at once (`watch.schedule`).
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
# A call waits so long for a change at the source; it ends late if its
# connection is silent.
WAIT_S = 0.4
# Who has heard nothing for so long asks itself: `WAIT_S` and the time of a call
# to a slow source, and a draw. Upstreams that leave serve on for 1.5 s after
# their notice at the least; with whoever watches lost, some of it is left.
MIN_DELAY_S = 0.75
JITTER_S = 0.4
# Whoever watches asks on after so long, which takes in what changes with what
# was told, and bounds its calls where entries change without end.
REPOLL_DELAY_S = 0.03
# In a new epoch of the source every gateway is to list all anew, and sees so at
# the same moment. The first that has the list tells the others, who draw the
# time at which they ask from this and have no need to.
RELIST_JITTER_S = 1.0
# Entries that are told whole in one datagram, some 100 bytes each; of more,
# each gateway asks for itself.
MAX_SNAPSHOT_ENTRIES = 160
# Share of the time in which a notice must be known, after which a gateway that
# hears nothing asks at the latest.
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
        """Prepares to follow.

        Args:
          poll: Asks the source.
          upstreams: Kept up to date.
          health: Told whether the source answers.
          max_delay_s: Time in which a change must be known, in seconds.
          rng: Draws the times of looks.
          epochs: The epoch that the source has told; None if it tells none.
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
        # What was known up to when the source told no further.
        self._min_revision = revision_lib.NONE
        self._change_log = change_log_lib.ChangeLog()
        self._deferred = deferred.DeferredAnnouncement(
            lambda: upstreams.sharers, rng
        )
        scale = min(
            1.0, MAX_DELAY_SHARE * max_delay_s / (MIN_DELAY_S + JITTER_S)
        )
        self._wait_s = scale * WAIT_S
        intervals = schedule_lib.PollIntervals(
            scale * MIN_DELAY_S, scale * JITTER_S, REPOLL_DELAY_S
        )
        self._schedule = schedule_lib.PollSchedule(
            intervals, lambda: upstreams.sharers, rng
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

    def snapshot(self) -> update_lib.MembershipUpdate | None:
        """Returns all that is known, for a gateway that knows nothing."""
        if self._revision is None:
            return None
        return update_lib.MembershipUpdate(
            update_lib.BEGINNING,
            self._revision,
            self._change_log.entries(self._revision),
            self._upstreams.lapses_left_s,
        )

    async def run(self) -> None:
        """Looks whenever it is this gateway's turn; runs until cancelled."""
        while True:
            await self._schedule.wait()
            await self._poll()

    def handle_update(self, update: update_lib.MembershipUpdate) -> None:
        """Takes what another gateway was told."""
        if self._epochs.is_refuted(update.revision.epoch):
            meter.news.inc({'of': NAME, 'result': 'old'})
            return
        self._deferred.note_announced(update.revision)
        if not self._apply_update(update):
            return
        if update.revision.epoch > self._epochs.newest:
            # Its word counts; but whether the source is there, only the source
            # can say.
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
        """Returns whether news was of use."""
        known = self._revision
        if self._is_first_snapshot(update) or self._is_newer_snapshot(update):
            self._apply_snapshot(update, known)
            return True
        if known is None or update.revision < known:
            meter.news.inc({'of': NAME, 'result': 'old'})
            return False
        if _is_gap(update, known):
            # Datagrams were lost: what came between is not known here.
            meter.news.inc({'of': NAME, 'result': 'gap'})
            if update.revision.epoch > known.epoch:
                self._epochs.note_peer_epoch(
                    NAME, update.sender, known, update.revision
                )
                self._schedule.poll_within(RELIST_JITTER_S, is_behind=True)
            else:
                self._schedule.poll_now()
            return False
        meter.news.inc({'of': NAME, 'result': 'taken'})
        if update.grace_s > 0:
            self._upstreams.expect_lapsed(update.grace_s)
        fresh = [one for one in update.changes if one.revision > known]
        self._apply_changes(fresh, known, update.revision)
        return True

    def _is_first_snapshot(self, update: update_lib.MembershipUpdate) -> bool:
        """Whether a list is all that there is to go by.

        One of a gateway that was cut off may be from before what was known as
        the source fell silent, and name upstreams that have ended since.
        """
        is_unsynced = self._revision is None
        return (
            is_unsynced
            and update.is_snapshot
            and update.revision >= self._min_revision
        )

    def _is_newer_snapshot(self, update: update_lib.MembershipUpdate) -> bool:
        """Whether a list is newer than what is known.

        One without any entry is left for the source to tell: a faulty sender's
        would leave nobody to serve.
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
        """Begins anew with all that another gateway has listed."""
        meter.news.inc({'of': NAME, 'result': 'whole'})
        if known is not None:
            self._epochs.note_peer_epoch(
                NAME, update.sender, known, update.revision
            )
        if update.grace_s > 0:
            self._upstreams.expect_lapsed(update.grace_s)
        self._replace_all(list(update.changes), update.revision, update.sender)

    async def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        known = self._revision
        is_epoch_over = known is not None and known.epoch < self._epochs.newest
        try:
            result = await self._poll_source(
                None if is_epoch_over else known, self._wait_s
            )
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
            # Told by others meanwhile, if it is not behind `newest`.
            fresh = [one for one in result.items if one.revision > newest]
            self._apply_changes(fresh, newest, result.revision)
        if self._schedule.note_answer(loop.time()):
            self._publish(is_new_epoch=is_new_epoch)
        elif fresh:
            self._deferred.schedule(result.revision, self._publish_deferred)

    def _handle_lost_history(self, known: revision_lib.Revision | None) -> None:
        """Meets a source that doesn't tell on from what was known."""
        if self._revision != known:
            # Another gateway has told the whole list meanwhile.
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
        """Meets an answer from before what is known here.

        Others may have told more while the call was under way. But what was
        known when it was sent is in every answer: a revision above it can only
        come from a faulty datagram, and nothing would be heard until the
        source has come so far.
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
            # Its copy lacks what was written last, which is written again.
            self._upstreams.expect_lapsed()
            self._upstreams.doubt_ended(changes)
            self._log_relist(changes, revision, origin)
        self._upstreams.confirm()
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
        self._upstreams.confirm()
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
            # Nobody can go on from the epoch before.
            self._announce(snapshot)
            return
        self._announce(
            update_lib.MembershipUpdate(
                self._change_log.since,
                self._revision,
                self._change_log.changes,
                self._upstreams.lapses_left_s,
            )
        )


def _is_gap(
    update: update_lib.MembershipUpdate, known: revision_lib.Revision
) -> bool:
    """Whether changes behind what is known are not told.

    No changes lead from one epoch to the next, and none from what is known to a
    list that is not taken.
    """
    is_newer_snapshot = update.is_snapshot and update.revision > known
    is_newer_epoch = update.revision.epoch > known.epoch
    return is_newer_snapshot or is_newer_epoch or update.since > known
