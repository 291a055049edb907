"""The upstreams that a gateway knows of, by service."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Iterable, Mapping

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.fleet import zones

__all__ = ['Change', 'Upstream', 'Upstreams', 'bounded_warmup_s']

# While its store is away a source may let the entries of upstreams lapse that
# live. They are entered again within two seconds of its return; acted on at
# once, the lapse would take away every upstream.
LAPSE_GRACE_S = 2.2
# Other gateways are told of a removed upstream for this long: more than their
# own pause between two looks at the source.
REMOVED_PUBLISH_S = 4.0
# No upstream stays cold for longer; a greater figure is a fault of its
# writer's, and the next entry corrects it.
MAX_WARMUP_S = 60.0
# With nothing told for this long the source is away for all gateways: a call
# that waits for a change is answered sooner.
SOURCE_SILENT_S = 0.8
# A copy from which the source comes back is seconds old, and it was away for
# some; an upstream whose entry went so long ago may stand in it yet.
ENDED_RETENTION_S = 60.0
MAX_ENDED = 4096
# Engines are taken away every few seconds; the rate is that of so long.
DEPARTURE_WINDOW_S = 8.0
MAX_DEPARTURES = 4096
# Stands in no id that a platform gives.
KEY_SEPARATOR = '\n'


@dataclasses.dataclass(slots=True, eq=False)
class Upstream:
    """One incarnation of an upstream process.

    Attributes:
      id: Its name; one that starts again may have the same.
      service: Service that it answers for.
      address: IP number and port.
      availability_zone: Where it runs.
      slots: Requests that it works on at once.
      leaving: Takes no new work.
      removed: No longer known; what still runs there is at its end.
      incarnation: Grows with each start under the same id; 0 if not told.
      warmup_s: For how long it stays cold, as its entry said, in seconds.
      cold_until_s: Loop time at which it is warm; set when the entry is taken.
    """

    id: str
    service: str
    address: tuple[str, int]
    availability_zone: str
    slots: int = 1
    leaving: bool = False
    removed: bool = False
    incarnation: int = 0
    warmup_s: float = 0.0
    cold_until_s: float = 0.0

    @property
    def key(self) -> str:
        """Names this incarnation, in memory and to other gateways.

        What is held, learned or told of one incarnation says nothing of the
        next, which holds and knows nothing of before.
        """
        if not self.incarnation:
            return self.id
        return f'{self.id}{KEY_SEPARATOR}{self.incarnation}'

    @property
    def address_text(self) -> str:
        """IP number and port with a colon."""
        return f'{self.address[0]}:{self.address[1]}'

    def has_same_content(self, other: Upstream) -> bool:
        """Whether an entry read as this one and another tell the same."""
        return (
            self.key == other.key
            and self.service == other.service
            and self.address == other.address
            and self.availability_zone == other.availability_zone
            and self.slots == other.slots
            and self.leaving == other.leaving
            and self.warmup_s == other.warmup_s
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """One entry of the membership that was written or dropped.

    Attributes:
      id: Id of the upstream.
      revision: Revision of the source at which it was.
      upstream: What the entry says, never changed afterwards; None if it was
        dropped, or names no upstream to use.
      may_have_lapsed: Whether a dropped entry may have lapsed in an outage of
        the source.
    """

    id: str
    revision: revision_lib.Revision
    upstream: Upstream | None
    may_have_lapsed: bool = True


class Upstreams:
    """Keeps what the membership source tells, and tells of upstreams leaving.

    Attributes:
      revision: Revision of the newest change taken in.
      gateway_count: Gateways that share what they know, this one included.
      zones: Which availability zones operators drain.
    """

    def __init__(self, regions: Mapping[str, str] | None = None) -> None:
        """Knows no upstream yet.

        Args:
          regions: Region of each availability zone.
        """
        self._regions = regions or {}
        self.zones = zones.Zones()
        self._by_id: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._on_leaving: list[Callable[[Upstream], None]] = []
        self.revision = revision_lib.NONE
        self.gateway_count = 1
        self._confirmed_s = 0.0
        self._removed: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._ended: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=MAX_ENDED
        )
        # Until when each is doubted, by key.
        self._suspected: dict[str, float] = {}
        self._lapsed: dict[str, revision_lib.Revision] = {}
        self._lapse_grace_until_s = 0.0
        self._departures: collections.deque[tuple[float, str]] = (
            collections.deque(maxlen=MAX_DEPARTURES)
        )

    @property
    def age_s(self) -> float:
        """Time since the source last said that this is all."""
        return asyncio.get_running_loop().time() - self._confirmed_s

    def mark_confirmed(self) -> None:
        """Notes that the source answered."""
        self._confirmed_s = asyncio.get_running_loop().time()

    @property
    def lapse_grace_left_s(self) -> float:
        """For how long entries that are gone are kept yet, in seconds."""
        now = asyncio.get_running_loop().time()
        return max(0.0, self._lapse_grace_until_s - now)

    def start_lapse_grace(self, for_s: float = LAPSE_GRACE_S) -> None:
        """Keeps entries that are gone for a while: their source was away.

        Args:
          for_s: How long; no longer than `LAPSE_GRACE_S` counts.
        """
        loop = asyncio.get_running_loop()
        for_s = min(for_s, LAPSE_GRACE_S)
        until_s = loop.time() + for_s
        if until_s <= self._lapse_grace_until_s:
            return
        self._lapse_grace_until_s = until_s
        loop.call_later(for_s, self._drop_lapsed)

    def mark_source_recovered(self, lost_s: float) -> None:
        """Notes that the source answers again.

        Args:
          lost_s: Loop time at which it fell silent here. Where other gateways
            were served meanwhile and told what changed, it was not away, and
            an entry that is gone has not lapsed.
        """
        if self._confirmed_s <= lost_s:
            self.start_lapse_grace()

    def on_leaving(self, callback: Callable[[Upstream], None]) -> None:
        """Calls back with each upstream that starts to leave or is gone."""
        self._on_leaving.append(callback)

    def available(
        self, service: str, regions: frozenset[str] | None = None
    ) -> list[Upstream]:
        """Returns the upstreams of a service that may get new work.

        Args:
          service: Name of the service.
          regions: Those in which it may be done; None for any.
        """
        return [
            upstream
            for upstream in self._by_service.get(service, ())
            if self.accepts_new_work(upstream)
            and (regions is None or self._region(upstream) in regions)
        ]

    def accepts_new_work(self, upstream: Upstream) -> bool:
        """Whether new work may go to an upstream."""
        if upstream.leaving or self._is_suspected(upstream):
            return False
        return not self.zones.is_drained(upstream.availability_zone)

    def _is_suspected(self, upstream: Upstream) -> bool:
        if not self._suspected:
            return False
        until_s = self._suspected.get(upstream.key, 0.0)
        return asyncio.get_running_loop().time() < until_s

    def _region(self, upstream: Upstream) -> str | None:
        return self._regions.get(upstream.availability_zone)

    def get(self, upstream_id: str) -> Upstream | None:
        """Returns an upstream by its id, None if it is not known."""
        return self._by_id.get(upstream_id)

    def all(self) -> list[Upstream]:
        """Returns every upstream known."""
        return list(self._by_id.values())

    def replace(
        self, found: Iterable[Change], revision: revision_lib.Revision
    ) -> None:
        """Takes all entries; upstreams that are not among them are gone."""
        listed = {change.id: change for change in found}
        for missing in self._by_id.keys() - listed.keys():
            self.remove(missing, revision)
        for change in listed.values():
            self.apply(change)
        # Also if it is less: what was known was then a faulty sender's.
        self.revision = revision

    def suspect_ended(self, found: Iterable[Change]) -> None:
        """Doubts the entries of a copy whose upstreams have ended since.

        An upstream has ended and its entry went; the copy is from before. Sent
        there, requests would wait for nobody. Whoever removed the entry does so
        again, in the time that it takes others to enter themselves again; what
        stands there still is that of one that lives.
        """
        now = asyncio.get_running_loop().time()
        ended = {
            key for at_s, key in self._ended if at_s > now - ENDED_RETENTION_S
        }
        # A further copy begins a further wait for whoever removes entries.
        keys = {
            change.upstream.key
            for change in found
            if change.upstream is not None
            and change.upstream.key in ended
            and (
                change.id not in self._by_id
                or self._is_suspected(change.upstream)
            )
        }
        self._suspected = {
            key: until_s
            for key, until_s in self._suspected.items()
            if until_s > now
        } | dict.fromkeys(keys, now + LAPSE_GRACE_S)

    def apply(self, change: Change) -> None:
        """Takes one entry, written or dropped."""
        if change.upstream is None:
            self.remove(
                change.id,
                change.revision,
                may_have_lapsed=change.may_have_lapsed,
            )
        else:
            # Changed later on here, by others' notices; the entry is not.
            found = dataclasses.replace(change.upstream)
            self.put(found, change.revision)

    def put(self, found: Upstream, revision: revision_lib.Revision) -> None:
        """Takes one entry, new or changed."""
        self.revision = max(self.revision, revision)
        self._lapsed.pop(found.id, None)
        known = self._by_id.get(found.id)
        if known is not None and known.incarnation and not found.incarnation:
            # Of another writer than the server, which has told its start.
            event.note(event.UpstreamStale(found.id, str(revision)))
            self.remove(found.id, revision, may_have_lapsed=False)
            return
        if known is not None and found.incarnation < known.incarnation:
            # Told late, of a start before the one that is known.
            event.note(event.UpstreamStale(found.id, str(revision)))
            return
        if known is None or _is_another(known, found):
            if known is not None:
                self.remove(found.id, revision, may_have_lapsed=False)
            found.cold_until_s = _cold_until_s(found)
            self._by_id[found.id] = found
            self._by_service.setdefault(found.service, []).append(found)
            event.note(
                event.UpstreamAdded(
                    upstream=found.id,
                    service=found.service,
                    address=found.address_text,
                    leaving=found.leaving,
                    version=str(revision),
                )
            )
            return
        if found.warmup_s != known.warmup_s:
            # An entry that was read again says nothing that is new.
            known.warmup_s = found.warmup_s
            known.cold_until_s = _cold_until_s(found)
        if found.leaving:
            self.mark_leaving(known, 'membership')

    def mark_leaving(self, upstream: Upstream, source: str) -> None:
        """Notes that an upstream takes no new work, whoever said so."""
        if upstream.leaving:
            return
        upstream.leaving = True
        now = asyncio.get_running_loop().time()
        self._departures.append((now, upstream.service))
        event.note(
            event.UpstreamLeaving(upstream.id, source, str(self.revision))
        )
        for callback in self._on_leaving:
            callback(upstream)

    @property
    def can_grow(self) -> bool:
        """Whether upstreams can enter: the source tells, to any gateway."""
        return self.age_s < SOURCE_SILENT_S

    def departures_per_s(self, service: str) -> float:
        """Returns how many upstreams of a service have gone a second, of late.

        While the source tells, others come in their place. While it does not,
        nobody can enter, and the engines that are taken away go on leaving.
        """
        since_s = asyncio.get_running_loop().time() - DEPARTURE_WINDOW_S
        left = sum(
            name == service and left_s > since_s
            for left_s, name in self._departures
        )
        return left / DEPARTURE_WINDOW_S

    def leaving_keys(self) -> tuple[str, ...]:
        """Returns the keys of upstreams that leave, or were removed just now.

        Some never say that they leave: their entry is removed, and they serve
        on for a while.
        """
        oldest_s = asyncio.get_running_loop().time() - REMOVED_PUBLISH_S
        while self._removed and self._removed[0][0] < oldest_s:
            self._removed.popleft()
        leaving = [u.key for u in self._by_id.values() if u.leaving]
        return (*leaving, *(removed for _, removed in self._removed))

    def receive_leaving(self, keys: Iterable[str], node: str) -> None:
        """Takes what another gateway knows of upstreams leaving.

        The store turns some machines away and serves others; those it serves
        hear a notice for all.
        """
        for key in keys:
            upstream = self._by_id.get(key.partition(KEY_SEPARATOR)[0])
            if upstream is not None and upstream.key == key:
                self.mark_leaving(upstream, f'peer {node}')

    def remove(
        self,
        upstream_id: str,
        revision: revision_lib.Revision,
        *,
        may_have_lapsed: bool = True,
    ) -> None:
        """Forgets an upstream whose entry is gone.

        Args:
          upstream_id: Its id.
          revision: Revision of the membership.
          may_have_lapsed: Whether the entry may have lapsed in an outage; not
            if something else is known to stand in its place.
        """
        self.revision = max(self.revision, revision)
        now = asyncio.get_running_loop().time()
        if may_have_lapsed and now < self._lapse_grace_until_s:
            if upstream_id in self._by_id:
                self._lapsed[upstream_id] = revision
                event.note(event.UpstreamLapsed(upstream_id, str(revision)))
            return
        upstream = self._by_id.pop(upstream_id, None)
        if upstream is None:
            return
        self._by_service[upstream.service].remove(upstream)
        self.mark_leaving(upstream, 'removed')
        upstream.removed = True
        self._removed.append((now, upstream.key))
        self._ended.append((now, upstream.key))
        event.note(event.UpstreamRemoved(upstream_id, str(revision)))

    def verify_incarnation(self, upstream: Upstream, told: int) -> bool:
        """Takes which start of an upstream has answered a question.

        Where it has started again, what it says is not of the one that was
        asked for, which is gone; its new entry comes by the membership.

        Returns:
          Whether the answer is of the start that is known.
        """
        if not told or not upstream.incarnation:
            return True
        if told > upstream.incarnation and not upstream.removed:
            self.remove(upstream.id, self.revision, may_have_lapsed=False)
        return told == upstream.incarnation

    def _drop_lapsed(self) -> None:
        # A further outage has begun a further wait.
        if asyncio.get_running_loop().time() < self._lapse_grace_until_s - 0.01:
            return
        self._lapse_grace_until_s = 0.0
        lapsed, self._lapsed = self._lapsed, {}
        for upstream_id, revision in lapsed.items():
            self.remove(upstream_id, revision)


def bounded_warmup_s(told_s: float) -> float:
    """Returns a time to stay cold, within what is possible."""
    return min(MAX_WARMUP_S, max(0.0, float(told_s)))


def _cold_until_s(found: Upstream) -> float:
    if not found.warmup_s:
        return 0.0
    return asyncio.get_running_loop().time() + found.warmup_s


def _is_another(known: Upstream, found: Upstream) -> bool:
    """Whether an entry is of another process than the one that is known."""
    return (known.incarnation, known.service, known.address) != (
        found.incarnation,
        found.service,
        found.address,
    )
