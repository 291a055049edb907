"""Availability zones that operators drain.

Operators take a zone out for a while: nothing new may go to its upstreams until
they take it back. What runs there goes on. The order for one zone is written
and dropped like any entry of the source, so that each is known by the revision
of the source at which it last changed; the newest of them counts, whoever tells
it. An order that was taken back cannot come again by an answer or a datagram
that was overtaken, and one that stands cannot be lost by it.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Iterable

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import revision as revision_lib

__all__ = ['MAX_NAME_LENGTH', 'Drain', 'Zones']

# Orders kept; several times the zones of the largest fleet planned for.
MAX_DRAINS = 256
# Characters in the name of a zone; longer ones are no names.
MAX_NAME_LENGTH = 200
# A copy from which the source has come back may lack an order, which operators
# write again. Kept for so long, an order that they have taken back leaves a
# zone idle for a few seconds; dropped sooner, work would go where they have
# been promised that none does.
LAPSE_GRACE_S = 10.0
# A run whose memory has been copied to a zone may still go on there for this
# long after its drain was learned: stopped at its source, it would be lost.
# With the time to learn of it this is well within what operators allow.
CONTINUE_GRACE_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Drain:
    """An operators' order for one zone.

    Attributes:
      zone: Name of the availability zone.
      revision: Revision of the source at which the order was written or
        dropped.
      is_on: Whether it stands.
    """

    zone: str
    revision: revision_lib.Revision
    is_on: bool


class Zones:
    """The newest order for each zone."""

    def __init__(self) -> None:
        self._drains: dict[str, Drain] = {}
        self._since_s: dict[str, float] = {}
        self._epoch = 0
        self._lapse_at_s = 0.0

    @property
    def drains(self) -> tuple[Drain, ...]:
        """Returns every order known, those that were taken back included."""
        return tuple(self._drains.values())

    @property
    def newest(self) -> revision_lib.Revision:
        """Revision of the newest order; `NONE` if there is none."""
        found = (one.revision for one in self._drains.values())
        return max(found, default=revision_lib.NONE)

    def is_drained(self, zone: str) -> bool:
        """Whether nothing new may go to a zone."""
        return zone in self._since_s

    def accepts_runs(self, zone: str) -> bool:
        """Whether a run that has been stopped to move there may go on there."""
        since_s = self._since_s.get(zone)
        return since_s is None or _now() - since_s < CONTINUE_GRACE_S

    def enter_epoch(self, revision: revision_lib.Revision) -> None:
        """Notes at which revision the source is.

        Orders of the epochs before stand for a while, and then no longer: what
        the source says of all zones is of this one.
        """
        if revision.epoch == self._epoch:
            return
        self._epoch = revision.epoch
        self._lapse_at_s = _now() + LAPSE_GRACE_S
        asyncio.get_running_loop().call_later(
            LAPSE_GRACE_S, self._drop_lapsed, revision
        )

    def _drop_lapsed(self, revision: revision_lib.Revision) -> None:
        # A further epoch has begun a further wait.
        if revision.epoch != self._epoch:
            return
        for drain in self.drains:
            if drain.is_on and drain.revision.epoch < revision.epoch:
                self._set(Drain(drain.zone, revision, is_on=False))

    def _has_lapsed(self, drain: Drain) -> bool:
        """Whether an order can only be told late: its epoch is long over."""
        is_over = _now() >= self._lapse_at_s
        return is_over and drain.revision.epoch < self._epoch

    def apply_newer(self, found: Iterable[Drain]) -> None:
        """Takes each order that is newer than the one known."""
        for drain in found:
            if self._has_lapsed(drain):
                continue
            known = self._drains.get(drain.zone)
            if known is None or drain.revision > known.revision:
                self._set(drain)

    def replace(
        self, found: Iterable[Drain], revision: revision_lib.Revision
    ) -> None:
        """Takes all orders that stand as of a revision of the source.

        What is known and not among them was taken back, unless it is newer, or
        of an epoch before and has not lapsed yet.
        """
        listed = {drain.zone: drain for drain in found}
        self.apply_newer(listed.values())
        for drain in self.drains:
            if drain.zone in listed or drain.revision > revision:
                continue
            is_current = drain.revision.epoch == revision.epoch
            if is_current or self._has_lapsed(drain):
                self._set(Drain(drain.zone, revision, is_on=False))

    def has_unlisted_drain(
        self, told: Iterable[Drain], revision: revision_lib.Revision
    ) -> bool:
        """Whether an order stands here that is not among all of a revision.

        It was taken back by then. Whoever tells has listed the orders since and
        knows nothing of those that no longer stood.
        """
        named = {drain.zone for drain in told}
        return any(
            drain.is_on
            and drain.zone not in named
            and drain.revision <= revision
            and drain.revision.epoch == revision.epoch
            for drain in self._drains.values()
        )

    def override_newer(
        self, found: Iterable[Drain], revision: revision_lib.Revision
    ) -> None:
        """Takes all orders as listed, in place of those above a revision.

        The source has not come to these: they can only come from a faulty
        sender, and nothing that the source says of their zones would count
        until it has come so far. A zone whose order stands stays drained.
        """
        listed = {drain.zone: drain for drain in found}
        for drain in self.drains:
            if drain.revision <= revision:
                continue
            off = Drain(drain.zone, revision_lib.NONE, is_on=False)
            self._set(listed.get(drain.zone, off))
            if drain.zone not in listed:
                del self._drains[drain.zone]

    def _set(self, drain: Drain) -> None:
        if drain.zone not in self._drains and not self._make_room(drain):
            return
        self._drains[drain.zone] = drain
        was_on = drain.zone in self._since_s
        if drain.is_on == was_on:
            return
        if drain.is_on:
            self._since_s[drain.zone] = _now()
        else:
            del self._since_s[drain.zone]
        event.note(
            event.ZoneDrain(drain.zone, drain.is_on, str(drain.revision))
        )

    def _make_room(self, drain: Drain) -> bool:
        """Returns whether there is a place for an order of a further zone."""
        if len(self._drains) < MAX_DRAINS:
            return True
        ended = [one for one in self._drains.values() if not one.is_on]
        if not drain.is_on or not ended:
            return False
        oldest = min(ended, key=lambda one: one.revision)
        del self._drains[oldest.zone]
        return True


def _now() -> float:
    return asyncio.get_running_loop().time()
