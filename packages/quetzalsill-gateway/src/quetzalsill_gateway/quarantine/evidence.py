"""What is known of crashes of upstreams, and of the requests that they ran.

A crash ends every run of its upstream, so each trait of each of them is a
suspect: the request as a whole, and what it has in common with others. A trait
of a run that outlived such a crash, or was answered, did not cause the crashes
before it began.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Callable, Iterable, Iterator

__all__ = ['Crash', 'Evidence', 'Suspect', 'Traits', 'groups', 'is_explained']

MIN_CRASHES = 3
# A run that has been producing output for this long, and for this multiple of
# the time after which a trait was followed by crashes, has outlived it.
MIN_OUTLIVED_S = 0.3
OUTLIVED_FACTOR = 2.0
# Upstreams that crash within this time of each other count as one crash.
GROUP_S = 0.25
# A trait that is repeated less often than this is found again each time.
RETENTION_S = 600.0
MAX_CRASHES = 256
MAX_SUSPECTS = 64
# Shared traits of all requests at one crash.
MAX_SHARED = 512
MAX_COMPLETIONS = 4096

Traits = frozenset[bytes]


@dataclasses.dataclass(slots=True, frozen=True)
class Suspect:
    """A request that was running at an upstream that crashed.

    Attributes:
      fingerprint: Fingerprint of the request.
      exposure_s: For how long it had been running, in seconds; the sum if it
        was running several times.
      label: Route, client account and path, for operators.
      shared: Fingerprints of the traits that other requests may have too.
      writing_s: For how long it had been producing output, in seconds; 0 if
        that is not known.
    """

    fingerprint: bytes
    exposure_s: float
    label: str = ''
    shared: Traits = frozenset()
    writing_s: float = dataclasses.field(default=0.0, compare=False)

    def has(self, traits: Traits) -> bool:
        """Whether it has all of some traits."""
        return all(
            one == self.fingerprint or one in self.shared for one in traits
        )

    def merge(self, other: Suspect) -> Suspect:
        """Returns it with what another report of it says."""
        # Other gateways don't send labels.
        return Suspect(
            self.fingerprint,
            max(self.exposure_s, other.exposure_s),
            self.label or other.label,
            self.shared | other.shared,
            max(self.writing_s, other.writing_s),
        )


@dataclasses.dataclass(slots=True)
class Crash:
    """The crash of one incarnation of an upstream.

    Attributes:
      key: Key of the upstream.
      service: Its service.
      at_s: Loop time at which its connections ended.
      suspects: Requests that were running, by fingerprint.
      by_trait: These requests by the fingerprints of their traits.
    """

    key: str
    service: str
    at_s: float
    suspects: dict[bytes, Suspect] = dataclasses.field(default_factory=dict)
    by_trait: dict[bytes, list[Suspect]] = dataclasses.field(
        init=False, compare=False, repr=False
    )

    def __post_init__(self) -> None:
        self._index()

    def merge(self, other: Crash) -> bool:
        """Adds what another report of the crash says; whether any is new."""
        self.at_s = min(self.at_s, other.at_s)
        before = dict(self.suspects)
        left = MAX_SHARED - sum(len(one.shared) for one in before.values())
        for fingerprint, suspect in other.suspects.items():
            known = self.suspects.get(fingerprint)
            if known is None and len(self.suspects) >= MAX_SUSPECTS:
                continue
            shared = suspect.shared - (known.shared if known else frozenset())
            if len(shared) > left:
                shared = frozenset(sorted(shared)[: max(0, left)])
            left -= len(shared)
            bounded = dataclasses.replace(suspect, shared=shared)
            self.suspects[fingerprint] = (
                known.merge(bounded) if known else bounded
            )
        if self.suspects == before:
            return False
        self._index()
        return True

    def matching(self, traits: Traits) -> Iterator[Suspect]:
        """Yields the requests that have all of some traits."""
        if not traits <= self.by_trait.keys():
            return iter(())
        first = next(iter(traits))
        return (one for one in self.by_trait[first] if one.has(traits))

    def exposure_s(self, fingerprint: bytes) -> float:
        """Returns for how long all requests with a trait had been running."""
        return sum(one.exposure_s for one in self.by_trait[fingerprint])

    def shortest_s(self, fingerprint: bytes) -> float:
        """Returns for how long the newest request with a trait had been."""
        return min(one.exposure_s for one in self.by_trait[fingerprint])

    def longest_s(self, fingerprint: bytes) -> float:
        """Returns for how long the oldest request with a trait had been."""
        return max(one.exposure_s for one in self.by_trait[fingerprint])

    def _index(self) -> None:
        self.by_trait = {}
        for one in self.suspects.values():
            for fingerprint in (one.fingerprint, *one.shared):
                self.by_trait.setdefault(fingerprint, []).append(one)


class Evidence:
    """Recent crashes, and traits whose requests have been answered since."""

    def __init__(self, upstream_count: Callable[[str], int]) -> None:
        """Starts without crashes.

        Args:
          upstream_count: Returns the number of upstreams of a service.
        """
        self._upstream_count = upstream_count
        self._crashes: dict[str, Crash] = {}
        self._keys: dict[bytes, set[str]] = {}
        # Loop time of the latest crash, by fingerprint.
        self._latest_s: dict[bytes, float] = {}
        # Loop time at which the latest run began that was answered or outlived
        # a crash, by fingerprint.
        self._completed: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # Traits of runs that did well, whether or not a crash concerns them.
        self._sound: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # Upstreams that have answered after they seemed to have crashed.
        self._alive: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __bool__(self) -> bool:
        """Whether any crash is known."""
        return bool(self._crashes)

    @property
    def crashes(self) -> list[Crash]:
        """All known crashes, in the order in which they became known."""
        return list(self._crashes.values())

    @property
    def completions(self) -> dict[bytes, float]:
        """Loop times from which suspects are cleared, by fingerprint."""
        return dict(self._completed)

    @property
    def alive(self) -> dict[str, float]:
        """Loop times at which upstreams proved alive, by key."""
        return dict(self._alive)

    def crash_time_s(self, key: str) -> float | None:
        """Returns the loop time at which an upstream crashed, None if not."""
        crash = self._crashes.get(key)
        return None if crash is None else crash.at_s

    def is_repeated(self, fingerprint: bytes) -> bool:
        """Whether a trait was running at `MIN_CRASHES` or more."""
        return len(self._keys.get(fingerprint, ())) >= MIN_CRASHES

    def repeated(self) -> Iterator[bytes]:
        """Yields the traits that were running at `MIN_CRASHES` or more."""
        return (
            fingerprint
            for fingerprint in self._keys
            if self.is_repeated(fingerprint)
        )

    def traits(self) -> Iterator[bytes]:
        """Yields all traits that were running at a crash."""
        return iter(self._keys)

    def crashes_of(self, fingerprint: bytes) -> list[Crash]:
        """Returns the crashes at which a trait was running."""
        return [self._crashes[key] for key in self._keys.get(fingerprint, ())]

    def count_of(self, fingerprint: bytes) -> int:
        """Returns the number of crashes at which a trait was running."""
        return len(self._keys.get(fingerprint, ()))

    def cleared_until_s(self, fingerprint: bytes) -> float:
        """Returns the loop time until which a trait caused no crash.

        It is minus infinity if nothing shows that.
        """
        return self._completed.get(fingerprint, -math.inf)

    def is_known_sound(self, fingerprint: bytes) -> bool:
        """Whether requests with a trait were answered or outlived a crash."""
        return fingerprint in self._completed

    def upstream_count(self, service: str) -> int:
        """Returns the number of upstreams of a service."""
        return self._upstream_count(service)

    def add(self, crash: Crash) -> bool:
        """Adds a crash or what is new about it; returns whether any was."""
        if crash.key in self._alive:
            return False
        known = self._crashes.get(crash.key)
        is_first = known is None
        if is_first:
            while len(self._crashes) >= MAX_CRASHES:
                self._remove(next(iter(self._crashes)))
            known = Crash(crash.key, crash.service, crash.at_s)
            self._crashes[crash.key] = known
        is_new = known.merge(crash)
        for fingerprint in known.by_trait:
            self._keys.setdefault(fingerprint, set()).add(crash.key)
            self._latest_s[fingerprint] = max(
                known.at_s, self._latest_s.get(fingerprint, known.at_s)
            )
        return is_new or is_first

    def record_alive(self, key: str, now: float) -> bool:
        """Drops the crash of an upstream that has answered since.

        What looks like a crash to one gateway may be a network fault between
        the two.
        """
        if key in self._alive:
            return False
        self._alive[key] = now
        while len(self._alive) > MAX_CRASHES:
            self._alive.popitem(last=False)
        self._remove(key)
        return True

    def record_completion(self, fingerprint: bytes, at_s: float) -> bool:
        """Records a run with a trait that did not crash its upstream.

        Args:
          fingerprint: Fingerprint of the trait.
          at_s: Loop time at which the run began.

        Returns:
          Whether that was not known.
        """
        return _record(self._completed, fingerprint, at_s)

    def record_sound(self, fingerprint: bytes, at_s: float) -> None:
        """Remembers such a run of a trait that no crash makes suspicious."""
        _record(self._sound, fingerprint, at_s)

    def sound_before(self, crash: Crash) -> Iterator[tuple[bytes, float]]:
        """Yields the traits at a crash of which runs did well before.

        Yields:
          Fingerprint of a trait, and the loop time at which the run began.
        """
        for fingerprint in crash.by_trait:
            if fingerprint not in self._completed and (
                fingerprint in self._sound
            ):
                yield fingerprint, self._sound[fingerprint]

    def is_cleared_by(
        self, fingerprint: bytes, begun_s: float, now: float
    ) -> bool:
        """Whether a run that goes on clears a trait of a suspicion.

        Args:
          fingerprint: Fingerprint of the trait.
          begun_s: Loop time at which the run began to produce output.
          now: Loop time.
        """
        if now - begun_s < MIN_OUTLIVED_S or fingerprint not in self._keys:
            return False
        charged = self.charges(fingerprint)
        if not charged or (
            begun_s <= charged[0].at_s and fingerprint in self._completed
        ):
            return False
        # A culprit crashes each upstream after about the same time, so that no
        # run with it gets much older.
        fuse_s = min(crash.longest_s(fingerprint) for crash in charged)
        return now - begun_s >= OUTLIVED_FACTOR * fuse_s

    def outlived(self, crash: Crash) -> Iterator[tuple[bytes, float]]:
        """Yields the traits that a crash clears of a suspicion.

        A run that had been producing output for long at the crash has outlived
        the time after which its traits would have caused one.

        Yields:
          Fingerprint of a trait, and the loop time at which the run began.
        """
        for suspect in crash.suspects.values():
            begun_s = crash.at_s - suspect.writing_s
            for fingerprint in (suspect.fingerprint, *suspect.shared):
                if self.is_cleared_by(fingerprint, begun_s, crash.at_s):
                    yield fingerprint, begun_s

    def was_running_briefly(self, fingerprint: bytes) -> bool:
        """Whether a request had just begun at the latest crash that it met."""
        crashes = self.crashes_of(fingerprint)
        if not crashes:
            return False
        latest = max(crashes, key=lambda crash: crash.at_s)
        return latest.exposure_s(fingerprint) < MIN_OUTLIVED_S

    def expire(self, now: float) -> None:
        """Drops what is older than `RETENTION_S`."""
        oldest_s = now - RETENTION_S
        for crash in self.crashes:
            if crash.at_s < oldest_s:
                self._remove(crash.key)
        for times in (self._completed, self._sound, self._alive):
            for key in [key for key, at_s in times.items() if at_s < oldest_s]:
                del times[key]

    def charges(
        self, fingerprint: bytes, culprits: Iterable[Traits] = ()
    ) -> list[Crash]:
        """Returns the crashes that a trait may have caused, by time.

        Args:
          fingerprint: Fingerprint of the trait.
          culprits: Traits of known culprits; their crashes count for nobody
            else but the traits that their own runs have, unless requests with
            these were answered lately.
        """
        since_s = self._completed.get(fingerprint, -math.inf)
        if self._latest_s.get(fingerprint, -math.inf) <= since_s:
            return []
        others = [one for one in culprits if fingerprint not in one]
        own = None if fingerprint in self._completed else fingerprint
        charged = (
            crash
            for crash in self.crashes_of(fingerprint)
            if crash.at_s > since_s and not is_explained(crash, others, own)
        )
        return sorted(charged, key=lambda crash: crash.at_s)

    def _remove(self, key: str) -> None:
        crash = self._crashes.pop(key, None)
        if crash is None:
            return
        for fingerprint in crash.by_trait:
            keys = self._keys[fingerprint]
            keys.discard(key)
            if not keys:
                del self._keys[fingerprint]
                del self._latest_s[fingerprint]


def is_explained(
    crash: Crash, culprits: Iterable[Traits], fingerprint: bytes | None = None
) -> bool:
    """Whether culprits explain a crash, by runs without a trait."""
    return any(
        fingerprint is None or fingerprint not in one.shared
        for traits in culprits
        for one in crash.matching(traits)
    )


def _record(
    times_s: collections.OrderedDict[bytes, float],
    fingerprint: bytes,
    at_s: float,
) -> bool:
    """Records the latest time of a trait; returns whether it is later."""
    if at_s <= times_s.get(fingerprint, -math.inf):
        return False
    times_s[fingerprint] = at_s
    times_s.move_to_end(fingerprint)
    while len(times_s) > MAX_COMPLETIONS:
        times_s.popitem(last=False)
    return True


def groups(charged: Iterable[Crash]) -> list[list[Crash]]:
    """Returns crashes in groups that count as one each.

    Args:
      charged: Crashes in the order of their times.
    """
    found: list[list[Crash]] = []
    for crash in charged:
        if found and crash.at_s - found[-1][0].at_s <= GROUP_S:
            found[-1].append(crash)
        else:
            found.append([crash])
    return found
