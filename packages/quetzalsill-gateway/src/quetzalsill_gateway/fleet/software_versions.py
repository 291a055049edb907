"""Which upstreams may continue a stream, by their software versions.

Upstreams of several software versions may serve a service side by side. What
two versions generate does not fit together, and upstreams don't check it. Once
a caller has an event of a stream, the stream continues only at upstreams of the
version that generated it, whatever brings it there: a restart, a move, a
backup, or the caller itself. Everything that chooses an upstream asks
`may_continue`.

For the time when all gateways restart at once, the versions of each service are
kept in the source (`watch.version_history`). A version is stored before any
stream begins at it, so that what is stored names whatever began a stream.

A version belongs to an incarnation of an upstream. One that is unknown differs
from all others, and two that are unknown differ too unless no upstream of the
service names a version.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
import math
from collections.abc import Callable, Iterable
from typing import Protocol

__all__ = [
    'Origin',
    'SoftwareVersions',
    'Stage',
    'Versioned',
    'origin_of',
    'pool_of',
]

# New streams begin at a version that was first seen less than this ago only if
# there is no other. By then, the other gateways know the version too, and none
# of them takes a stream of it for one of the only version.
SETTLING_S = 1.0
# For so long, a stream waits until the only version that serves is stored.
# After that its caller is served although the source is not available.
STORING_S = 1.0
# Until the configuration is known.
DEFAULT_LIFETIME_S = 600.0
# Bounds what a faulty writer can add to the table.
MAX_VERSIONS = 64
UNKNOWN = ''


class Versioned(Protocol):
    """An incarnation of an upstream.

    Attributes:
      service: Service that it serves.
      software_version: Version of its software; empty if unknown.
    """

    service: str
    software_version: str

    @property
    def key(self) -> str:
        """Identifies the incarnation."""


class Stage(enum.IntEnum):
    """How far a version is known; new streams begin at the lowest stage.

    Attributes:
      KNOWN: It is stored, and all gateways know it.
      SETTLING: It is stored; some gateways may not know it yet.
      UNSTORED: It could not be stored so far.
      STORING: It is being stored, and no stream begins at it yet.
    """

    KNOWN = 0
    SETTLING = 1
    UNSTORED = 2
    STORING = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Origin:
    """What generated the first event of a stream that its caller has.

    Attributes:
      service: Its service.
      version: Its software version; empty if unknown.
      key: Key of the incarnation; empty if any of that version is meant.
    """

    service: str
    version: str
    key: str = ''

    @property
    def pool(self) -> str:
        """Identifies the upstreams that may continue the stream."""
        return self.version or self.key


def origin_of(upstream: Versioned) -> Origin:
    """Returns the origin of a stream whose first event is from an upstream."""
    version = upstream.software_version
    key = UNKNOWN if version else upstream.key
    return Origin(upstream.service, version, key)


def pool_of(upstream: Versioned) -> str:
    """Returns the `Origin.pool` of the streams that begin at an upstream."""
    return upstream.software_version or upstream.key


class SoftwareVersions:
    """The software versions seen in each service, while streams may need them.

    Attributes:
      lifetime_s: Longest time from the first event of a stream to its caller's
        last try, in seconds.
    """

    def __init__(self) -> None:
        self.lifetime_s = DEFAULT_LIFETIME_S
        self._first_s: dict[str, dict[str, float]] = collections.defaultdict(
            dict
        )
        self._last_s: dict[str, dict[str, float]] = collections.defaultdict(
            dict
        )
        # Loop times at which versions were dropped, by service.
        self._expired_s: dict[str, dict[str, float]] = collections.defaultdict(
            dict
        )
        # Loop times since which every version in use has been seen: of all
        # services, and of some.
        self._all_complete_since_s = math.inf
        self._complete_since_s: dict[str, float] = {}
        self._is_stored_first = False
        self._stored: dict[str, frozenset[str]] = {}
        self._on_new: list[Callable[[], None]] = []
        self._on_several: list[Callable[[str], None]] = []

    def store_first(self) -> None:
        """Makes new streams wait until their version has been stored."""
        self._is_stored_first = True

    def on_new(self, callback: Callable[[], None]) -> None:
        """Registers a callback for versions that are new in their service."""
        self._on_new.append(callback)

    def on_several(self, callback: Callable[[str], None]) -> None:
        """Registers a callback for services that get a second version."""
        self._on_several.append(callback)

    def may_continue(self, origin: Origin | None, upstream: Versioned) -> bool:
        """Whether a stream may continue at an upstream.

        Args:
          origin: Origin of the stream; None if its caller has no event yet.
          upstream: The upstream.
        """
        if origin is None:
            return True
        if origin.service != upstream.service:
            return False
        if origin.key and origin.key == upstream.key:
            return True
        if origin.version and upstream.software_version:
            return origin.version == upstream.software_version
        return self.names(upstream.service) <= {UNKNOWN}

    def names(self, service: str) -> frozenset[str]:
        """Returns the versions seen in a service."""
        return frozenset(self._last_s.get(service, ()))

    def ages(self, service: str | None = None) -> list[tuple[str, str, float]]:
        """Returns services, their versions, and the time since each was seen.

        Args:
          service: Restricts them to a service; None for all.
        """
        now = _now()
        return [
            (name, version, round(max(0.0, now - seen_s), 1))
            for name, found in self._last_s.items()
            for version, seen_s in found.items()
            if service in (None, name)
        ]

    @property
    def services_with_several(self) -> list[str]:
        """Services in which several versions were seen."""
        return [name for name, found in self._last_s.items() if len(found) > 1]

    def has_several(self, service: str) -> bool:
        """Whether several versions were seen in a service."""
        return len(self._last_s.get(service, ())) > 1

    @property
    def services(self) -> list[str]:
        """Services in which any version was seen."""
        return list(self._last_s)

    def mark_stored(self, service: str, names: frozenset[str]) -> None:
        """Records that versions of a service are stored."""
        self._stored[service] = names

    def has_stages(self, service: str) -> bool:
        """Whether the versions of a service may differ in `stage`."""
        names = self._last_s.get(service, {})
        return len(names) > 1 or not self._are_stored(service, names)

    def stage(self, upstream: Versioned) -> Stage:
        """Returns how far the version of an upstream is known."""
        service, version = upstream.service, upstream.software_version
        first_s = self._first_s.get(service, {})
        at_s = first_s.get(version, -math.inf)
        now = _now()
        if not self._are_stored(service, (version,)):
            is_due = now >= at_s + STORING_S
            return Stage.UNSTORED if is_due else Stage.STORING
        # Versions that a gateway finds when it starts are known to others.
        if (
            now < at_s + SETTLING_S
            and at_s > min(first_s.values()) + SETTLING_S
        ):
            return Stage.SETTLING
        return Stage.KNOWN

    def _are_stored(self, service: str, names: Iterable[str]) -> bool:
        return not self._is_stored_first or self._stored.get(
            service, frozenset()
        ).issuperset(names)

    def record(self, service: str, version: str, age_s: float = 0.0) -> None:
        """Records that a version serves, or has served some time ago."""
        now = _now()
        seen_s = now - age_s
        if seen_s < now - self.lifetime_s:
            return
        versions = self._last_s[service]
        is_new = version not in versions
        if is_new and len(versions) >= MAX_VERSIONS:
            return
        versions[version] = max(seen_s, versions.get(version, -math.inf))
        self._expired_s[service].pop(version, None)
        if is_new:
            self._first_s[service][version] = now
            for callback in self._on_new:
                callback()
            if len(versions) > 1:
                for callback in self._on_several:
                    callback(service)

    def refresh(self, serving: Iterable[Versioned], lifetime_s: float) -> None:
        """Records the versions that serve, and forgets those long gone.

        Args:
          serving: All known upstreams.
          lifetime_s: New value of `lifetime_s`.
        """
        self.lifetime_s = lifetime_s
        for service, version in {
            (one.service, one.software_version) for one in serving
        }:
            self.record(service, version)
        oldest_s = _now() - self.lifetime_s
        for service, versions in list(self._last_s.items()):
            for version, seen_s in list(versions.items()):
                if seen_s < oldest_s:
                    del versions[version]
                    del self._first_s[service][version]
                    self._expire(service, version)
            if not versions:
                del self._last_s[service], self._first_s[service]

    def expired_for_s(self, service: str, version: str) -> float:
        """Returns how long ago a version expired here; 0 if it has not."""
        at_s = self._expired_s.get(service, {}).get(version)
        return 0.0 if at_s is None else _now() - at_s

    def _expire(self, service: str, version: str) -> None:
        expired = self._expired_s[service]
        expired[version] = _now()
        if len(expired) > MAX_VERSIONS:
            del expired[next(iter(expired))]

    def complete_s(self, service: str | None = None) -> float:
        """Returns for how long every version in use has been seen, in seconds.

        Args:
          service: The service; None for all.
        """
        services = self.services if service is None else [service]
        since_s = max(
            map(self._since_s, services), default=self._all_complete_since_s
        )
        return max(0.0, _now() - since_s)

    def _since_s(self, service: str) -> float:
        return min(
            self._all_complete_since_s,
            self._complete_since_s.get(service, math.inf),
        )

    def is_complete(self, service: str) -> bool:
        """Whether every version is known that streams may be of."""
        return self.complete_s(service) >= self.lifetime_s

    def mark_complete(
        self, for_s: float = math.inf, service: str | None = None
    ) -> None:
        """Records that what was seen is all there was for some time.

        Args:
          for_s: That time, in seconds.
          service: The service; None for all.
        """
        since_s = _now() - for_s
        if service is None:
            self._all_complete_since_s = min(
                self._all_complete_since_s, since_s
            )
        else:
            self._complete_since_s[service] = min(
                self._since_s(service), since_s
            )

    def mark_isolated(self) -> None:
        """Records that versions may serve which this gateway does not see."""
        self._all_complete_since_s = _now()
        self._complete_since_s.clear()

    def only(self, service: str) -> Origin | None:
        """Returns the origin of any stream of a service, if there is but one.

        None if several versions have served within the lifetime of a stream,
        or if some may have that were not seen.
        """
        versions = self._last_s.get(service, {})
        if len(versions) != 1 or not self.is_complete(service):
            return None
        [version] = versions
        return Origin(service, version)


def _now() -> float:
    return asyncio.get_running_loop().time()
