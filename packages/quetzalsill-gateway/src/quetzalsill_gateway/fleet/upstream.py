"""The upstreams that a gateway knows, by service."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Iterable, Iterator, Mapping

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.fleet import (
    shutdown_notices,
    software_versions,
    zones,
)

__all__ = ['Change', 'Upstream', 'Upstreams', 'bounded_warmup_s']

# A source whose store is unavailable may let the entries of live upstreams
# lapse. They register again within two seconds of its return; applied at once,
# the lapse would remove every upstream.
LAPSE_GRACE_S = 2.2
# Removed upstreams are published to other gateways for this long, which is
# longer than the interval at which those query the source.
REMOVED_PUBLISH_S = 4.0
# Upper bound of the time an upstream stays cold. A larger value is a fault of
# its writer, which the next entry corrects.
MAX_WARMUP_S = 60.0
# After an entry was written again, peers may still publish its removal for this
# long: those that get both changes up to a second later.
RETURN_GRACE_S = REMOVED_PUBLISH_S + 1.0
# A source that has confirmed nothing for this long is unavailable to all
# gateways: a query that waits for a change is answered sooner.
SOURCE_SILENT_S = 0.8
# The copy from which a source is restored is seconds old, and the source was
# unavailable for some seconds; it may still list an upstream whose entry was
# removed within this time.
ENDED_RETENTION_S = 60.0
MAX_ENDED = 4096
# Window of the rate of departures. Engines leave every few seconds.
DEPARTURE_WINDOW_S = 8.0
MAX_DEPARTURES = 4096
# A longer version comes from a faulty writer.
MAX_VERSION_LENGTH = 64
# Occurs in no id that a platform assigns.
KEY_SEPARATOR = '\n'


@dataclasses.dataclass(slots=True, eq=False)
class Upstream:
    """One incarnation of an upstream process.

    Attributes:
      id: Its name, which it may keep when it restarts.
      service: Service that it serves.
      address: IP address and port.
      availability_zone: Zone in which it runs.
      slots: Number of requests that it processes concurrently.
      leaving: Whether it accepts no new work.
      removed: Whether it is no longer known; what still runs there is about to
        end.
      incarnation: Grows with each start under the same id; 0 if unknown.
      warmup_s: For how long it stays cold, as its entry says, in seconds.
      cold_until_s: Loop time at which it is warm; set when the entry is
        applied.
      software_version: Version of its software; empty if unknown.
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
    software_version: str = ''

    @property
    def key(self) -> str:
        """Identifies this incarnation, in memory and to other gateways.

        What one incarnation holds, and what was learned or received about it,
        doesn't apply to the next, which starts empty.
        """
        if not self.incarnation:
            return self.id
        return f'{self.id}{KEY_SEPARATOR}{self.incarnation}'

    @property
    def address_text(self) -> str:
        """IP address and port, separated by a colon."""
        return f'{self.address[0]}:{self.address[1]}'

    def has_same_content(self, other: Upstream) -> bool:
        """Whether the entry of another upstream has the same content."""
        return (
            self.key == other.key
            and self.service == other.service
            and self.address == other.address
            and self.availability_zone == other.availability_zone
            and self.slots == other.slots
            and self.leaving == other.leaving
            and self.warmup_s == other.warmup_s
            and self.software_version == other.software_version
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A membership entry that was written or removed.

    Attributes:
      id: Id of the upstream.
      revision: Revision of the source at which it changed.
      upstream: Content of the entry, which is never modified; None if it was
        removed, or describes no usable upstream.
      may_have_lapsed: Whether a removed entry may have lapsed in an outage of
        the source.
    """

    id: str
    revision: revision_lib.Revision
    upstream: Upstream | None
    may_have_lapsed: bool = True


class Upstreams:
    """Tracks the membership, and notifies of upstreams that are leaving.

    Attributes:
      revision: Revision of the newest change applied.
      gateway_count: Number of gateways that share upstreams, this one included.
      zones: Availability zones that operators drain.
      notices: Notices of shutdown, which outlast the entries.
      versions: Software versions seen, by which streams may continue.
    """

    def __init__(self, regions: Mapping[str, str] | None = None) -> None:
        """Starts without upstreams.

        Args:
          regions: Region of each availability zone.
        """
        self._regions = regions or {}
        self.zones = zones.Zones()
        self.notices = shutdown_notices.ShutdownNotices()
        self.versions = software_versions.SoftwareVersions()
        self._by_id: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._on_leaving: list[Callable[[Upstream], None]] = []
        self._on_lapsed: Callable[[Upstream], None] = lambda _: None
        self.revision = revision_lib.NONE
        self.gateway_count = 1
        self._confirmed_s = 0.0
        self._removed: collections.deque[tuple[float, Upstream]] = (
            collections.deque()
        )
        self._ended: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=MAX_ENDED
        )
        # Loop time until which an upstream gets no new work, by key.
        self._suspected: dict[str, float] = {}
        # Revisions at which only a peer's state said that an upstream is
        # leaving, by key.
        self._reported_by_peers: dict[str, revision_lib.Revision] = {}
        # Loop time at which a removed entry was written again, by key.
        self._returned: dict[str, float] = {}
        self._lapsed: dict[str, revision_lib.Revision] = {}
        self._lapse_grace_until_s = 0.0
        self._departures: collections.deque[tuple[float, str]] = (
            collections.deque(maxlen=MAX_DEPARTURES)
        )

    @property
    def age_s(self) -> float:
        """Time since the source last confirmed the membership."""
        return asyncio.get_running_loop().time() - self._confirmed_s

    def mark_confirmed(self) -> None:
        """Records that the source has responded."""
        self._confirmed_s = asyncio.get_running_loop().time()

    @property
    def lapse_grace_left_s(self) -> float:
        """For how much longer removed entries are kept, in seconds."""
        now = asyncio.get_running_loop().time()
        return max(0.0, self._lapse_grace_until_s - now)

    def start_lapse_grace(self, for_s: float = LAPSE_GRACE_S) -> None:
        """Keeps removed entries for a while after an outage of their source.

        Args:
          for_s: For how long, limited to `LAPSE_GRACE_S`.
        """
        loop = asyncio.get_running_loop()
        for_s = min(for_s, LAPSE_GRACE_S)
        until_s = loop.time() + for_s
        if until_s <= self._lapse_grace_until_s:
            return
        self._lapse_grace_until_s = until_s
        loop.call_later(for_s, self._drop_lapsed)

    def mark_source_recovered(self, lost_s: float) -> None:
        """Records that the source responds to this gateway again.

        Args:
          lost_s: Loop time at which it stopped responding here. If other
            gateways still reached it and published its changes, there was no
            outage, and no removed entry has lapsed.
        """
        if self._confirmed_s <= lost_s:
            self.start_lapse_grace()

    def on_leaving(self, callback: Callable[[Upstream], None]) -> None:
        """Registers a callback for upstreams that leave or are removed."""
        self._on_leaving.append(callback)

    def on_lapsed(self, callback: Callable[[Upstream], None]) -> None:
        """Sets a callback for upstreams that are kept without an entry."""
        self._on_lapsed = callback

    def is_lapsed(self, upstream: Upstream) -> bool:
        """Whether an upstream is kept although its entry is missing."""
        return upstream.id in self._lapsed and not upstream.removed

    def available(
        self, service: str, regions: frozenset[str] | None = None
    ) -> list[Upstream]:
        """Returns the upstreams of a service that may get new work.

        Args:
          service: Name of the service.
          regions: Regions in which the work may run; None for any.
        """
        return [
            upstream
            for upstream in self._by_service.get(service, ())
            if self.accepts_new_work(upstream)
            and (regions is None or self._region(upstream) in regions)
        ]

    def retiring_pools(self, service: str) -> frozenset[str]:
        """Returns the pools of software versions that are about to be gone.

        That is, at least as many upstreams of them have given notice of their
        shutdown as take new work. A stream that begins there may soon have no
        other upstream to continue at.
        """
        leaving: collections.Counter[str] = collections.Counter()
        remaining: collections.Counter[str] = collections.Counter()
        for one in (
            *self._by_service.get(service, ()),
            *self._recently_removed(),
        ):
            if one.service != service:
                continue
            pool = software_versions.pool_of(one)
            if self.notices.includes(one):
                leaving[pool] += 1
            else:
                remaining[pool] += not one.leaving
        return frozenset(
            pool for pool, count in leaving.items() if count >= remaining[pool]
        )

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
        """Returns an upstream by its id, or None if it is unknown."""
        return self._by_id.get(upstream_id)

    def all(self) -> list[Upstream]:
        """Returns all known upstreams."""
        return list(self._by_id.values())

    def replace(
        self, found: Iterable[Change], revision: revision_lib.Revision
    ) -> None:
        """Applies the complete membership and removes all other upstreams."""
        listed = {change.id: change for change in found}
        for missing in self._by_id.keys() - listed.keys():
            self.remove(missing, revision)
        for change in listed.values():
            self.apply(change)
        # Set even if it is lower: a higher one came from a faulty sender.
        self.revision = revision

    def suspect_ended(self, found: Iterable[Change]) -> None:
        """Gives no new work to restored entries of upstreams that have ended.

        A source that was restored from a copy may list an upstream whose entry
        was removed after the copy was taken; requests sent there would never
        be answered. Whoever removed the entry removes it again, in the time
        in which others register again. An entry that is still there afterwards
        belongs to a live upstream.
        """
        now = asyncio.get_running_loop().time()
        ended = {
            key for at_s, key in self._ended if at_s > now - ENDED_RETENTION_S
        }
        # Another copy restarts the wait for entries to be removed again.
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
        """Applies an entry that was written or removed."""
        if change.upstream is None:
            self.remove(
                change.id,
                change.revision,
                may_have_lapsed=change.may_have_lapsed,
            )
        else:
            # Peers' notices modify the upstream later, but not the entry.
            found = dataclasses.replace(change.upstream)
            self.put(found, change.revision)

    def put(self, found: Upstream, revision: revision_lib.Revision) -> None:
        """Applies an entry that is new or has changed."""
        self.revision = max(self.revision, revision)
        self._lapsed.pop(found.id, None)
        known = self._by_id.get(found.id)
        if known is not None and known.incarnation and not found.incarnation:
            # Not written by the server, which reports its incarnation.
            event.note(event.UpstreamStale(found.id, str(revision)))
            self.remove(found.id, revision, may_have_lapsed=False)
            return
        if known is not None and found.incarnation < known.incarnation:
            # A late entry of an earlier incarnation.
            event.note(event.UpstreamStale(found.id, str(revision)))
            return
        if known is None or _is_another_process(known, found):
            if known is not None:
                self.remove(found.id, revision, may_have_lapsed=False)
            found.cold_until_s = _cold_until_s(found)
            if found.leaving:
                self.notices.record(found)
            found.leaving = self.notices.includes(found)
            if any(key == found.key for _, key in self._ended):
                self._mark_returned(found.key)
            self.versions.record(found.service, found.software_version)
            self._by_id[found.id] = found
            self._by_service.setdefault(found.service, []).append(found)
            event.note(
                event.UpstreamAdded(
                    upstream=found.id,
                    service=found.service,
                    address=found.address_text,
                    leaving=found.leaving,
                    version=str(revision),
                    software_version=found.software_version,
                )
            )
            return
        # An update of a gateway of the previous release has no version.
        if found.software_version and not known.software_version:
            known.software_version = found.software_version
            self.versions.record(known.service, known.software_version)
        if found.warmup_s != known.warmup_s:
            # Reading the same entry again must not restart the warm-up.
            known.warmup_s = found.warmup_s
            known.cold_until_s = _cold_until_s(found)
        if found.leaving:
            self.mark_leaving(known, 'membership')
        elif self._is_newer_than_report(known.key, revision):
            # A peer has seen its entry removed, which is back.
            known.leaving = False
            self._mark_returned(known.key)

    def _is_newer_than_report(
        self, key: str, revision: revision_lib.Revision
    ) -> bool:
        """Whether an entry was written after a peer's report of its removal.

        An entry in a later epoch may be older: it comes from a restored copy.
        """
        reported = self._reported_by_peers.get(key)
        return (
            reported is not None
            and revision.epoch == reported.epoch
            and revision > reported
        )

    def _mark_returned(self, key: str) -> None:
        """Records that a removed entry of a live upstream is back.

        Reports of its removal in the state of peers no longer count. If it
        leaves, its entry or a notice says so.
        """
        now = asyncio.get_running_loop().time()
        self._reported_by_peers.pop(key, None)
        self._returned = {
            other: at_s
            for other, at_s in self._returned.items()
            if at_s > now - RETURN_GRACE_S
        } | {key: now}
        self._removed = collections.deque(
            entry for entry in self._removed if entry[1].key != key
        )

    def _has_returned(self, key: str) -> bool:
        now = asyncio.get_running_loop().time()
        returned_s = self._returned.get(key)
        return returned_s is not None and now < returned_s + RETURN_GRACE_S

    def mark_leaving(
        self, upstream: Upstream, source: str, *, is_shared: bool = False
    ) -> None:
        """Records that an upstream has given notice of its shutdown.

        Args:
          upstream: The upstream.
          source: Where the information comes from, for the log.
          is_shared: Whether to announce it to the other gateways.
        """
        self.notices.record(upstream, is_shared=is_shared)
        self._reported_by_peers.pop(upstream.key, None)
        self._set_leaving(upstream, source)
        # Its entry may have lapsed and be back meanwhile.
        current = self._by_id.get(upstream.id)
        if current is not None and current.key == upstream.key:
            self._set_leaving(current, source)

    def _set_leaving(self, upstream: Upstream, source: str) -> None:
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
        """Whether upstreams can join: some gateway reaches the source."""
        return self.age_s < SOURCE_SILENT_S

    def departures_per_s(self, service: str) -> float:
        """Returns the recent rate at which upstreams of a service leave.

        While the source is available, others replace them. During an outage,
        none can join, but engines continue to be taken away.
        """
        since_s = asyncio.get_running_loop().time() - DEPARTURE_WINDOW_S
        left = sum(
            name == service and left_s > since_s
            for left_s, name in self._departures
        )
        return left / DEPARTURE_WINDOW_S

    def leaving_keys(self) -> tuple[str, ...]:
        """Returns the keys of upstreams that leave or were recently removed.

        Some never announce that they leave: their entry is removed, and they
        continue to serve for a while.
        """
        leaving = [u.key for u in self._by_id.values() if u.leaving]
        return (*leaving, *(one.key for one in self._recently_removed()))

    def leaving(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service that leave or have just left.

        Includes those that were recently removed, which may still have runs.
        """
        return [
            one
            for one in (*self._by_id.values(), *self._recently_removed())
            if one.leaving and one.service == service
        ]

    def _recently_removed(self) -> list[Upstream]:
        oldest_s = asyncio.get_running_loop().time() - REMOVED_PUBLISH_S
        while self._removed and self._removed[0][0] < oldest_s:
            self._removed.popleft()
        return [removed for _, removed in self._removed]

    def receive_leaving(self, keys: Iterable[str], node: str) -> None:
        """Marks the upstreams that another gateway reports as leaving.

        The store may refuse some hosts and serve others; those that it serves
        pass its notices on to the rest.
        """
        for upstream in self._find(keys):
            if not upstream.leaving and not self._has_returned(upstream.key):
                self._reported_by_peers[upstream.key] = self.revision
                self._set_leaving(upstream, f'peer {node}')

    def _find(self, keys: Iterable[str]) -> Iterator[Upstream]:
        """Yields the known upstreams that have one of the keys."""
        for key in keys:
            upstream = self._by_id.get(key.partition(KEY_SEPARATOR)[0])
            if upstream is not None and upstream.key == key:
                yield upstream

    def receive_notices(self, update: shutdown_notices.NoticeUpdate) -> None:
        """Records the notices that another gateway has announced.

        Those of upstreams that are still unknown are kept.
        """
        self.notices.receive(update)
        keys = [notice.key for notice in update.notices]
        for upstream in self._find(keys):
            self._reported_by_peers.pop(upstream.key, None)
            self._set_leaving(upstream, f'peer {update.sender}')

    def remove(
        self,
        upstream_id: str,
        revision: revision_lib.Revision,
        *,
        may_have_lapsed: bool = True,
    ) -> None:
        """Removes an upstream whose entry was removed.

        Args:
          upstream_id: Its id.
          revision: Revision of the membership.
          may_have_lapsed: Whether the entry may have lapsed in an outage; not
            if it is known to have been replaced.
        """
        self.revision = max(self.revision, revision)
        now = asyncio.get_running_loop().time()
        if may_have_lapsed and now < self._lapse_grace_until_s:
            known = self._by_id.get(upstream_id)
            if known is not None:
                is_new = upstream_id not in self._lapsed
                self._lapsed[upstream_id] = revision
                event.note(event.UpstreamLapsed(upstream_id, str(revision)))
                if is_new:
                    self._on_lapsed(known)
            return
        upstream = self._by_id.pop(upstream_id, None)
        if upstream is None:
            return
        self._by_service[upstream.service].remove(upstream)
        # The entry of a live upstream may lapse, and be written again.
        self._set_leaving(upstream, 'removed')
        upstream.removed = True
        self._reported_by_peers.pop(upstream.key, None)
        self._removed.append((now, upstream))
        self._ended.append((now, upstream.key))
        event.note(event.UpstreamRemoved(upstream_id, str(revision)))

    def verify_incarnation(self, upstream: Upstream, reported: int) -> bool:
        """Checks which incarnation of an upstream has responded.

        If the upstream has restarted, the response is not from the incarnation
        that was asked, which is removed; the membership source will list the
        new one.

        Returns:
          Whether the response is from the known incarnation.
        """
        if not reported or not upstream.incarnation:
            return True
        if reported > upstream.incarnation and not upstream.removed:
            self.remove(upstream.id, self.revision, may_have_lapsed=False)
        return reported == upstream.incarnation

    def _drop_lapsed(self) -> None:
        # Another outage has started a grace period of its own.
        if asyncio.get_running_loop().time() < self._lapse_grace_until_s - 0.01:
            return
        self._lapse_grace_until_s = 0.0
        lapsed, self._lapsed = self._lapsed, {}
        for upstream_id, revision in lapsed.items():
            self.remove(upstream_id, revision)


def bounded_warmup_s(reported_s: float) -> float:
    """Returns a reported warm-up time, limited to the valid range."""
    return min(MAX_WARMUP_S, max(0.0, float(reported_s)))


def _cold_until_s(found: Upstream) -> float:
    if not found.warmup_s:
        return 0.0
    return asyncio.get_running_loop().time() + found.warmup_s


def _is_another_process(known: Upstream, found: Upstream) -> bool:
    """Whether an entry belongs to another process than the known one."""
    if (
        known.software_version
        and found.software_version
        and known.software_version != found.software_version
    ):
        return True
    return (known.incarnation, known.service, known.address) != (
        found.incarnation,
        found.service,
        found.address,
    )
