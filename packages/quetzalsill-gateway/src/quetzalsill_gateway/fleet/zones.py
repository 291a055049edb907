"""Availability zones that operators drain.

While a zone is drained, its upstreams get no new work; running work continues.
The drain order for a zone is an entry of the source like any other, so each
order carries the revision of the source at which it last changed. The newest
order wins, whichever gateway sends it: a late response or datagram can neither
restore an order that was withdrawn nor remove one that is in force.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Iterable

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import revision as revision_lib

__all__ = ['MAX_NAME_LENGTH', 'Drain', 'Zones']

# Several times the number of zones in the largest fleet planned for.
MAX_DRAINS = 256
# Characters; a longer zone name is invalid.
MAX_NAME_LENGTH = 200
# A source that is restored from a copy may lack an order until operators write
# it again, so the order is kept for this long. If it had been withdrawn, a zone
# is idle for a few seconds; dropped sooner, work would go to a zone of which
# operators were promised that it gets none.
LAPSE_GRACE_S = 10.0
# A run that was stopped to move to a zone, where its memory has been copied,
# may continue there for this long after the zone's drain became known, as it
# would be lost otherwise. Together with the time until the drain is known, this
# is well within what operators allow.
CONTINUE_GRACE_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Drain:
    """A drain order for one zone.

    Attributes:
      zone: Name of the availability zone.
      revision: Revision of the source at which the order was written or
        withdrawn.
      is_on: Whether it is in force.
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
        """Returns all known orders, including withdrawn ones."""
        return tuple(self._drains.values())

    @property
    def newest(self) -> revision_lib.Revision:
        """Revision of the newest order; `NONE` if there is none."""
        found = (drain.revision for drain in self._drains.values())
        return max(found, default=revision_lib.NONE)

    def is_drained(self, zone: str) -> bool:
        """Whether a zone gets no new work."""
        return zone in self._since_s

    def accepts_runs(self, zone: str) -> bool:
        """Whether a run that was stopped to move there may continue there."""
        since_s = self._since_s.get(zone)
        return since_s is None or _now() - since_s < CONTINUE_GRACE_S

    def enter_epoch(self, revision: revision_lib.Revision) -> None:
        """Records the current revision of the source.

        Orders of previous epochs stay in force for a grace period and are then
        dropped, as what the source lists belongs to the new epoch.
        """
        if revision.epoch == self._epoch:
            return
        self._epoch = revision.epoch
        self._lapse_at_s = _now() + LAPSE_GRACE_S
        asyncio.get_running_loop().call_later(
            LAPSE_GRACE_S, self._drop_lapsed, revision
        )

    def _drop_lapsed(self, revision: revision_lib.Revision) -> None:
        # A newer epoch has started a grace period of its own.
        if revision.epoch != self._epoch:
            return
        for drain in self.drains:
            if drain.is_on and drain.revision.epoch < revision.epoch:
                self._set(Drain(drain.zone, revision, is_on=False))

    def _has_lapsed(self, drain: Drain) -> bool:
        """Whether the grace period of an order's epoch is over.

        Such an order can only arrive late.
        """
        is_over = _now() >= self._lapse_at_s
        return is_over and drain.revision.epoch < self._epoch

    def apply_newer(self, found: Iterable[Drain]) -> None:
        """Applies each order that is newer than the known one."""
        for drain in found:
            if self._has_lapsed(drain):
                continue
            known = self._drains.get(drain.zone)
            if known is None or drain.revision > known.revision:
                self._set(drain)

    def replace(
        self, found: Iterable[Drain], revision: revision_lib.Revision
    ) -> None:
        """Applies the complete list of orders in force at a revision.

        A known order that is not listed was withdrawn, unless it is newer, or
        belongs to a previous epoch that has not lapsed yet.
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
        self, listed: Iterable[Drain], revision: revision_lib.Revision
    ) -> bool:
        """Whether an order in force here is missing from a peer's full list.

        It was withdrawn by `revision`. The peer has listed the orders after
        that, so it doesn't know the withdrawn ones and doesn't name them.
        """
        named = {drain.zone for drain in listed}
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
        """Replaces orders above a revision by the listed ones.

        The source has not reached those revisions, so the orders come from a
        faulty sender; they would override everything the source says of their
        zones until it gets there. A zone with a listed order stays drained.
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
        """Returns whether an order for another zone can be stored.

        Evicts the oldest withdrawn order if needed.
        """
        if len(self._drains) < MAX_DRAINS:
            return True
        withdrawn = [one for one in self._drains.values() if not one.is_on]
        if not drain.is_on or not withdrawn:
            return False
        oldest = min(withdrawn, key=lambda one: one.revision)
        del self._drains[oldest.zone]
        return True


def _now() -> float:
    return asyncio.get_running_loop().time()
