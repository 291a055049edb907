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
LEAST_S = 0.75
SPREAD_S = 0.4
# Whoever watches asks on after so long, which takes in what changes with what
# was told, and bounds its calls where entries change without end.
ASK_ON_S = 0.03
# In a new epoch of the source every gateway is to list all anew, and sees so at
# the same moment. The first that has the list tells the others, who draw the
# time at which they ask from this and have no need to.
ANEW_S = 1.0
# Entries that are told whole in one datagram, some 100 bytes each; of more,
# each gateway asks for itself.
MOST_TOLD = 160
# Share of the time in which a notice must be known, after which a gateway that
# hears nothing asks at the latest.
BOUND_SHARE = 0.75


class Membership:
    """Follows the source of membership; one task runs `run`."""

    def __init__(
        self,
        ask: source.Poll[upstream.Change],
        upstreams: upstream.Upstreams,
        health: source.Health,
        bound_s: float,
        rng: random.Random | None = None,
        epochs: epoch.EpochTracker | None = None,
        node: str = '',
    ) -> None:
        """Prepares to follow.

        Args:
          ask: Asks the source.
          upstreams: Kept up to date.
          health: Told whether the source answers.
          bound_s: Time in which a change must be known, in seconds.
          rng: Draws the times of looks.
          epochs: The epoch that the source has told; None if it tells none.
          node: Name of this gateway.
        """
        self._ask = ask
        self._node = node
        self._upstreams = upstreams
        self._health = health
        self._epochs = epochs or epoch.EpochTracker()
        self._epochs.on_change(lambda: self._schedule.poll_within(ANEW_S))
        self._revision: revision_lib.Revision | None = None
        self._listed: revision_lib.Revision | None = None
        # What was known up to when the source told no further.
        self._floor = revision_lib.NONE
        self._change_log = change_log_lib.ChangeLog()
        self._deferred = deferred.DeferredAnnouncement(
            lambda: upstreams.gateway_count, rng
        )
        scale = min(1.0, BOUND_SHARE * bound_s / (LEAST_S + SPREAD_S))
        self._wait_s = scale * WAIT_S
        pace = schedule_lib.PollIntervals(
            scale * LEAST_S, scale * SPREAD_S, ASK_ON_S
        )
        self._schedule = schedule_lib.PollSchedule(
            pace, lambda: upstreams.gateway_count, rng
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
            self._upstreams.lapse_grace_left_s,
        )

    async def run(self) -> None:
        """Looks whenever it is this gateway's turn; runs until cancelled."""
        while True:
            await self._schedule.wait()
            await self._look()

    def handle_update(self, told: update_lib.MembershipUpdate) -> None:
        """Takes what another gateway was told."""
        if self._epochs.is_refuted(told.revision.epoch):
            meter.updates.inc({'of': NAME, 'result': 'old'})
            return
        self._deferred.note_announced(told.revision)
        if not self._take_told(told):
            return
        if told.revision.epoch > self._epochs.newest:
            # Its word counts; but whether the source is there, only the source
            # can say.
            self._schedule.poll_within(ANEW_S)
        elif told.revision.epoch == self._epochs.newest and not told.is_repeat:
            self._schedule.note_peer_answer(
                asyncio.get_running_loop().time(),
                is_first=self._node < told.sender,
            )

    def _take_told(self, told: update_lib.MembershipUpdate) -> bool:
        """Returns whether news was of use."""
        known = self._revision
        if self._is_first_list(told) or self._is_newer_list(told):
            self._begin(told, known)
            return True
        if known is None or told.revision < known:
            meter.updates.inc({'of': NAME, 'result': 'old'})
            return False
        if _is_gap(told, known):
            # Datagrams were lost: what came between is not known here.
            meter.updates.inc({'of': NAME, 'result': 'gap'})
            if told.revision.epoch > known.epoch:
                self._epochs.note_peer_epoch(
                    NAME, told.sender, known, told.revision
                )
                self._schedule.poll_within(ANEW_S, is_behind=True)
            else:
                self._schedule.poll_now()
            return False
        meter.updates.inc({'of': NAME, 'result': 'taken'})
        if told.grace_s > 0:
            self._upstreams.start_lapse_grace(told.grace_s)
        fresh = [one for one in told.changes if one.revision > known]
        self._take(fresh, known, told.revision)
        return True

    def _is_first_list(self, told: update_lib.MembershipUpdate) -> bool:
        """Whether a list is all that there is to go by.

        One of a gateway that was cut off may be from before what was known as
        the source fell silent, and name upstreams that have ended since.
        """
        is_silent = self._revision is None
        return is_silent and told.is_snapshot and told.revision >= self._floor

    def _is_newer_list(self, told: update_lib.MembershipUpdate) -> bool:
        """Whether a list is newer than what is known.

        One without any entry is left for the source to tell: a faulty sender's
        would leave nobody to serve.
        """
        return (
            told.is_snapshot
            and bool(told.changes)
            and told.revision > (self._revision or self._floor)
        )

    def _begin(
        self,
        told: update_lib.MembershipUpdate,
        known: revision_lib.Revision | None,
    ) -> None:
        """Begins anew with all that another gateway has listed."""
        meter.updates.inc({'of': NAME, 'result': 'whole'})
        if known is not None:
            self._epochs.note_peer_epoch(
                NAME, told.sender, known, told.revision
            )
        if told.grace_s > 0:
            self._upstreams.start_lapse_grace(told.grace_s)
        self._restart(list(told.changes), told.revision, told.sender)

    async def _look(self) -> None:
        loop = asyncio.get_running_loop()
        known = self._revision
        is_ended = known is not None and known.epoch < self._epochs.newest
        try:
            found = await self._ask(None if is_ended else known, self._wait_s)
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
        newest = self._revision
        if newest is not None and found.revision < newest:
            self._correct(known, found.revision)
            return
        is_new = found.is_snapshot and self._is_new_epoch(found.revision)
        fresh: list[upstream.Change] = []
        if found.is_snapshot:
            self._restart(found.items, found.revision, 'store')
        else:
            self._schedule.note_resumed()
            # Told by others meanwhile, if it is not behind `newest`.
            fresh = [one for one in found.items if one.revision > newest]
            self._take(fresh, newest, found.revision)
        if self._schedule.note_answer(loop.time()):
            self._tell(is_new=is_new)
        elif fresh:
            self._deferred.schedule(found.revision, self._tell_late)

    def _end_feed(self, known: revision_lib.Revision | None) -> None:
        """Meets a source that doesn't tell on from what was known."""
        if self._revision != known:
            # Another gateway has told the whole list meanwhile.
            return
        newest = self._epochs.newest
        if known is not None and known.epoch == newest:
            event.note(event.StoreHistoryLost(NAME, str(known)))
        elif known is not None and known.epoch > newest:
            told = revision_lib.Revision(newest, 0)
            event.note(event.VersionAhead(NAME, str(known), str(told)))
        self._schedule.note_resync(asyncio.get_running_loop().time())
        if known is not None and known.epoch <= newest:
            self._floor = known
        self._revision = None

    def _correct(
        self, known: revision_lib.Revision | None, told: revision_lib.Revision
    ) -> None:
        """Meets an answer from before what is known here.

        Others may have told more while the call was under way. But what was
        known when it was sent is in every answer: a revision above it can only
        come from a faulty datagram, and nothing would be heard until the
        source has come so far.
        """
        if known is not None and told < known:
            event.note(event.VersionAhead(NAME, str(known), str(told)))
            now = asyncio.get_running_loop().time()
            self._schedule.note_resync(now, at_once=False)
            self._deferred.reset()
            self._floor = revision_lib.NONE
            self._revision = None

    def _is_new_epoch(self, revision: revision_lib.Revision) -> bool:
        return self._listed is not None and self._listed.epoch != revision.epoch

    def _restart(
        self,
        found: list[upstream.Change],
        revision: revision_lib.Revision,
        source: str,
    ) -> None:
        if self._is_new_epoch(revision):
            # Its copy lacks what was written last, which is written again.
            self._upstreams.start_lapse_grace()
            self._upstreams.suspect_ended(found)
            self._note_listed(found, revision, source)
        self._upstreams.mark_confirmed()
        self._upstreams.replace(found, revision)
        self._change_log.reset(found, revision)
        self._revision = self._listed = revision
        self._floor = revision_lib.NONE

    def _note_listed(
        self,
        found: list[upstream.Change],
        revision: revision_lib.Revision,
        source: str,
    ) -> None:
        meter.epochs.inc({'what': 'listed'})
        event.note(
            event.TableListed(
                NAME, source, str(self._listed), str(revision), len(found)
            )
        )

    def _take(
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

    def _tell_late(self) -> None:
        if self._revision is not None:
            self._tell(is_new=False)

    def _tell(self, *, is_new: bool) -> None:
        if self._announce is None:
            return
        whole = self.snapshot()
        if is_new and len(whole.changes) <= MOST_TOLD:
            # Nobody can go on from the epoch before.
            self._announce(whole)
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
    told: update_lib.MembershipUpdate, known: revision_lib.Revision
) -> bool:
    """Whether changes behind what is known are not told.

    No changes lead from one epoch to the next, and none from what is known to a
    list that is not taken.
    """
    is_list = told.is_snapshot and told.revision > known
    is_later = told.revision.epoch > known.epoch
    return is_list or is_later or told.since > known
