"""Shares the origins of streams among gateways, and asks for them.

Each origin goes to a few gateways, its holders, which every gateway derives
from the key of the stream. A gateway to which a caller takes its stream up asks
the holders, then all others: views of who is a peer differ, and a stream that
began while there was one version was not published. The first that knows the
origin is enough.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from quetzalsill_gateway.fleet import publish_timing, quota, stream_origins
from quetzalsill_gateway.peers import origin_codec

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import members as members_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.peers import exchange as exchange_lib

__all__ = ['HOLDERS', 'OriginLookup']

# Gateways that get an origin besides the one that relays the stream.
HOLDERS = 3
# In a large fleet, this many are asked before all others are.
FIRST_ASKED = 2 * HOLDERS
# Datagrams are lost, so those that did not answer are asked again.
REPEAT_S = 0.15
MAX_WAIT_S = 1.0
# Bounds what callers that name made-up streams can cause.
MAX_LOOKUPS = 256


@dataclasses.dataclass(slots=True)
class _Lookup:
    """A question that is being asked.

    Attributes:
      service: Service that the caller asks for.
      asked: Names of the gateways asked.
      answered: Those that have answered.
      is_fresh: Whether one of them sees the source.
      is_found: Whether one of them knew the origin.
      changed: Set by each answer.
      ended: Set once nobody is asked any more.
    """

    service: str
    asked: set[str] = dataclasses.field(default_factory=set)
    answered: set[str] = dataclasses.field(default_factory=set)
    is_fresh: bool = False
    is_found: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class OriginLookup:
    """Publishes and looks up origins by datagrams."""

    def __init__(
        self,
        peers: exchange_lib.Exchange,
        members: members_lib.Members,
        upstreams: upstream_lib.Upstreams,
        origins: stream_origins.StreamOrigins,
        has_peers: bool,
    ) -> None:
        """Connects the origins to the exchange with other gateways.

        Args:
          peers: The exchange.
          members: Gateways that were seen or listed recently.
          upstreams: Membership.
          origins: Origins that this gateway knows.
          has_peers: Whether this gateway exchanges datagrams.
        """
        self._peers = peers
        self._members = members
        self._upstreams = upstreams
        self._origins = origins
        self._has_peers = has_peers
        self._lookups: dict[bytes, _Lookup] = {}
        self._confirmed_s = float('-inf')
        origins.set_publisher(self._publish)
        origins.set_finder(self.find)
        peers.on_new_peer(self._replicate)
        peers.on_greeting(self._recent_versions)
        peers.on_refresh(self._recent_versions)
        handlers: dict[type, Callable[..., None]] = {
            stream_origins.OriginUpdate: origins.receive,
            origin_codec.OriginQuery: self._answer,
            origin_codec.OriginAnswer: self._receive_answer,
            origin_codec.VersionsUpdate: self._receive_versions,
        }
        for kind, handler in handlers.items():
            peers.on_update(kind, handler)

    @property
    def is_view_confirmed(self) -> bool:
        """Whether no gateway can know of an upstream that is unknown here.

        The source has just confirmed the membership, or gateways that see it
        have, or all gateways have while none of them sees it.
        """
        if self._upstreams.can_grow:
            return True
        return _now() < self._confirmed_s + publish_timing.KEEPALIVE_S

    @property
    def is_isolated(self) -> bool:
        """Whether neither the source nor any known gateway is in contact."""
        return (
            not self._upstreams.can_grow
            and not self._peers.peer_names
            and len(self._members.names(_now())) > 1
        )

    async def find(self, key: bytes, service: str) -> None:
        """Asks the other gateways for an origin, for `MAX_WAIT_S` at most.

        Their answers are recorded: the origin in the table of origins, and the
        versions that they have seen.
        """
        if key in self._lookups:
            await self._lookups[key].ended.wait()
            return
        if len(self._lookups) >= MAX_LOOKUPS:
            return
        lookup = self._lookups[key] = _Lookup(service)
        try:
            await self._ask(key, lookup)
        finally:
            del self._lookups[key]
            lookup.ended.set()

    async def _ask(self, key: bytes, lookup: _Lookup) -> None:
        end_s = _now() + MAX_WAIT_S
        is_first = True
        while (left_s := end_s - _now()) > 0:
            if self._have_all_answered(lookup):
                break
            names = self._next_asked(key, lookup, is_first=is_first)
            is_first = False
            if not names:
                # A gateway that starts does not know its peers yet.
                await asyncio.sleep(min(REPEAT_S, left_s))
                continue
            lookup.asked.update(names)
            query = origin_codec.OriginQuery(key, lookup.service)
            self._peers.send_to(names, query)
            round_end_s = _now() + min(REPEAT_S, left_s)
            while not lookup.is_found and not self._is_answered(lookup):
                wait_s = round_end_s - _now()
                if wait_s <= 0:
                    break
                lookup.changed.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait_s):
                        await lookup.changed.wait()
            if lookup.is_found:
                break
        if lookup.is_fresh or self._have_all_answered(lookup):
            self._confirmed_s = _now()

    def _next_asked(
        self, key: bytes, lookup: _Lookup, *, is_first: bool
    ) -> list[str]:
        names = [
            one for one in self._peers.peer_names if one not in lookup.answered
        ]
        if is_first and len(names) >= publish_timing.SMALL_FLEET:
            return quota.rate_owners(key.hex(), tuple(names), FIRST_ASKED)
        return names

    def _is_answered(self, lookup: _Lookup) -> bool:
        """Whether those asked so far have answered."""
        return bool(lookup.asked) and lookup.asked <= lookup.answered

    def _have_all_answered(self, lookup: _Lookup) -> bool:
        """Whether all other gateways that may be alive have answered."""
        if not self._has_peers:
            return True
        if not self._peers.is_greeted:
            return False
        others = set(self._peers.peer_names)
        if not others:
            return len(self._members.names(_now())) == 1
        return others <= lookup.answered

    def _publish(self, records: Iterable[stream_origins.Record]) -> None:
        """Sends origins to their holders.

        At once also in a large fleet: the holders of two streams differ, so
        that collecting records would save few datagrams, and those of a gateway
        that fails would be lost.
        """
        names = tuple(self._peers.peer_names)
        by_holder: dict[str, list[stream_origins.Record]] = (
            collections.defaultdict(list)
        )
        for record in records:
            for name in quota.rate_owners(record.key.hex(), names, HOLDERS):
                by_holder[name].append(record)
        for name, found in by_holder.items():
            self._send_records(name, found)

    def _send_records(
        self, name: str, records: list[stream_origins.Record]
    ) -> None:
        size = stream_origins.MAX_ITEMS
        for first in range(0, len(records), size):
            update = stream_origins.OriginUpdate(
                tuple(records[first : first + size])
            )
            self._peers.send_to((name,), update)

    def _replicate(self, name: str) -> None:
        """Sends a gateway that has started the origins that it should hold.

        Each is sent by the gateway that relays the stream and by the first of
        its other holders, as the former may have failed.
        """
        names = tuple(self._peers.peer_names)
        node = self._members.node
        found = []
        for record, is_own in self._origins.live():
            key = record.key.hex()
            if name not in quota.rate_owners(key, names, HOLDERS):
                continue
            others = (node, *(one for one in names if one != name))
            if is_own or quota.rate_owners(key, others, 1) == [node]:
                found.append(record)
        self._send_records(name, found)

    def _versions(
        self, service: str | None = None
    ) -> origin_codec.VersionsUpdate:
        versions = self._upstreams.versions
        return origin_codec.VersionsUpdate(
            tuple(versions.ages(service)),
            versions.complete_s(service),
            self._upstreams.can_grow,
        )

    def _recent_versions(self) -> list[origin_codec.VersionsUpdate]:
        """Returns what others may have missed; nothing with one version."""
        self._origins.expire()
        if not self._upstreams.versions.services_with_several:
            return []
        return [self._versions()]

    def _answer(self, query: origin_codec.OriginQuery) -> None:
        record = self._origins.get_record(query.key)
        answer = origin_codec.OriginAnswer(
            query.key, record, self._versions(query.service)
        )
        self._peers.send_to((query.sender,), answer)

    def _receive_answer(self, answer: origin_codec.OriginAnswer) -> None:
        self._record_versions(answer.versions)
        lookup = self._lookups.get(answer.key)
        if lookup is not None:
            # The answer has the versions of this service only.
            self._upstreams.versions.mark_complete(
                answer.versions.complete_s, lookup.service
            )
        if answer.record is not None:
            update = stream_origins.OriginUpdate((answer.record,))
            self._origins.receive(update)
        if lookup is not None:
            lookup.answered.add(answer.sender)
            lookup.is_found |= answer.record is not None
            lookup.is_fresh |= answer.versions.is_fresh
            lookup.changed.set()

    def _receive_versions(self, update: origin_codec.VersionsUpdate) -> None:
        self._record_versions(update)
        self._upstreams.versions.mark_complete(update.complete_s)

    def _record_versions(self, update: origin_codec.VersionsUpdate) -> None:
        for service, version, age_s in update.versions:
            self._upstreams.versions.record(service, version, age_s)


def _now() -> float:
    return asyncio.get_running_loop().time()
