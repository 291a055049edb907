"""Attributes crashes of upstreams to the requests that caused them.

A crash ends every run of its upstream, so each of them is a suspect. Where one
request crashes upstreams again and again, its neighbours meet several crashes
too, long generations most of all. What distinguishes them:

- a request that an upstream has answered since a crash did not cause it;
- a crash at which a known culprit was running is charged to nobody else;
- upstreams that crash at the same moment, as those of a rack do, count once;
- a request that was running at some of many crashes may have been there by
  chance, depending on for how long it has been running;
- of requests that were running at the same crashes, the one that had been
  running for clearly the shortest time is the culprit.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import math
from collections.abc import Callable, Iterable, Iterator

__all__ = ['Crash', 'Evidence', 'Suspect', 'groups']

MIN_CRASHES = 3
# While another request may have caused the same crashes as well, this many are
# needed.
MIN_AMBIGUOUS_CRASHES = 5
# A request is clearly shorter than another if it has been running for less than
# this share of its time.
CLEARLY_SHORTER_SHARE = 0.5
# Upstreams that crash within this time of each other count as one crash.
GROUP_S = 0.25
# Largest probability that as many crashes meet a request by chance.
MAX_CHANCE = 1e-6
# Window for the rate of crashes.
RATE_WINDOW_S = 10.0
# Rate at which an upstream is assumed to crash though none has lately; few
# crashes show little about it.
MIN_CRASHES_PER_S = 0.01
# A request that is repeated less often than this is found again each time.
RETENTION_S = 600.0
MAX_CRASHES = 256
MAX_SUSPECTS = 64
MAX_COMPLETIONS = 4096
# Bound the time of a verdict: requests that are considered, those at the most
# crashes first; those compared with each other; and culprits found.
MAX_CANDIDATES = 128
MAX_COMPARED = 16
MAX_CULPRITS = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Suspect:
    """A request that was running at an upstream that crashed.

    Attributes:
      fingerprint: Fingerprint of the request.
      exposure_s: For how long it had been running, in seconds; the sum if it
        was running several times.
      label: Route, client account and path, for operators.
    """

    fingerprint: bytes
    exposure_s: float
    label: str = ''


@dataclasses.dataclass(slots=True)
class Crash:
    """The crash of one incarnation of an upstream.

    Attributes:
      key: Key of the upstream.
      service: Its service.
      at_s: Loop time at which its connections ended.
      suspects: Requests that were running, by fingerprint.
    """

    key: str
    service: str
    at_s: float
    suspects: dict[bytes, Suspect] = dataclasses.field(default_factory=dict)

    def merge(self, other: Crash) -> bool:
        """Adds what another report of the crash says; whether any is new."""
        self.at_s = min(self.at_s, other.at_s)
        before = dict(self.suspects)
        for fingerprint, suspect in other.suspects.items():
            known = self.suspects.get(fingerprint)
            if known is None:
                if len(self.suspects) < MAX_SUSPECTS:
                    self.suspects[fingerprint] = suspect
                continue
            # Other gateways don't send labels.
            self.suspects[fingerprint] = Suspect(
                fingerprint,
                max(known.exposure_s, suspect.exposure_s),
                known.label or suspect.label,
            )
        return self.suspects != before


@dataclasses.dataclass(slots=True)
class _Candidate:
    """A request that may be a culprit.

    Attributes:
      fingerprint: Its fingerprint.
      charged: The crashes that it may have caused.
      count: Their number, those at the same moment counted once.
      exposure_s: For how long it had been running at all of them together.
    """

    fingerprint: bytes
    charged: list[Crash]
    count: int = dataclasses.field(init=False)
    exposure_s: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.count = len(groups(self.charged))
        self.exposure_s = sum(
            crash.suspects[self.fingerprint].exposure_s
            for crash in self.charged
        )

    @property
    def mean_exposure_s(self) -> float:
        """For how long it had been running at each of them."""
        return self.exposure_s / self.count

    def is_ambiguous_with(self, other: _Candidate) -> bool:
        """Whether another request may have caused the same crashes."""
        return (
            other is not self
            and self.exposure_s > CLEARLY_SHORTER_SHARE * other.exposure_s
            and all(other.fingerprint in one.suspects for one in self.charged)
        )


class Evidence:
    """Recent crashes, and requests that have been answered since."""

    def __init__(self, upstream_count: Callable[[str], int]) -> None:
        """Starts without crashes.

        Args:
          upstream_count: Returns the number of upstreams of a service.
        """
        self._upstream_count = upstream_count
        self._crashes: dict[str, Crash] = {}
        self._keys: dict[bytes, set[str]] = {}
        # Loop time of the latest answer, by fingerprint.
        self._completed: collections.OrderedDict[bytes, float] = (
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
        """Loop times at which suspects were answered, by fingerprint."""
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
        """Whether a request was running at `MIN_CRASHES` or more."""
        return len(self._keys.get(fingerprint, ())) >= MIN_CRASHES

    def repeated(self) -> Iterator[bytes]:
        """Yields the requests that were running at `MIN_CRASHES` or more."""
        return (
            fingerprint
            for fingerprint in self._keys
            if self.is_repeated(fingerprint)
        )

    def add(self, crash: Crash) -> bool:
        """Adds a crash or what is new about it; returns whether any was."""
        if crash.key in self._alive:
            return False
        known = self._crashes.get(crash.key)
        if known is None:
            while len(self._crashes) >= MAX_CRASHES:
                self._remove(next(iter(self._crashes)))
            suspects = dict(list(crash.suspects.items())[:MAX_SUSPECTS])
            known = dataclasses.replace(crash, suspects=suspects)
            self._crashes[crash.key] = known
            is_new = True
        else:
            is_new = known.merge(crash)
        for fingerprint in known.suspects:
            self._keys.setdefault(fingerprint, set()).add(crash.key)
        return is_new

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
        """Records that an upstream has answered a request without crashing."""
        if at_s <= self._completed.get(fingerprint, -math.inf):
            return False
        self._completed[fingerprint] = at_s
        self._completed.move_to_end(fingerprint)
        while len(self._completed) > MAX_COMPLETIONS:
            self._completed.popitem(last=False)
        return True

    def expire(self, now: float) -> None:
        """Drops what is older than `RETENTION_S`."""
        oldest_s = now - RETENTION_S
        for crash in self.crashes:
            if crash.at_s < oldest_s:
                self._remove(crash.key)
        for times in (self._completed, self._alive):
            for key in [key for key, at_s in times.items() if at_s < oldest_s]:
                del times[key]

    def charges(
        self, fingerprint: bytes, culprits: Iterable[bytes] = ()
    ) -> list[Crash]:
        """Returns the crashes that a request may have caused, by time.

        Args:
          fingerprint: Fingerprint of the request.
          culprits: Known culprits; their crashes count for nobody else.
        """
        others = frozenset(culprits) - {fingerprint}
        since_s = self._completed.get(fingerprint, -math.inf)
        crashes = (
            self._crashes[key] for key in self._keys.get(fingerprint, ())
        )
        charged = (
            crash
            for crash in crashes
            if crash.at_s > since_s and others.isdisjoint(crash.suspects)
        )
        return sorted(charged, key=lambda crash: crash.at_s)

    def culprits(
        self, known: Iterable[bytes], now: float
    ) -> Iterator[tuple[Suspect, list[Crash]]]:
        """Yields the requests that are found to have caused crashes.

        Each of them explains its crashes before the next is looked for. At most
        `MAX_CULPRITS`; more may be found at the next call.

        Args:
          known: Culprits that are known already.
          now: Loop time.
        """
        found = set(known)
        for _ in range(MAX_CULPRITS):
            candidate = self._culprit(found, now)
            if candidate is None:
                return
            found.add(candidate.fingerprint)
            yield (
                candidate.charged[-1].suspects[candidate.fingerprint],
                candidate.charged,
            )

    def _culprit(self, known: set[bytes], now: float) -> _Candidate | None:
        repeated = heapq.nlargest(
            MAX_CANDIDATES,
            (one for one in self.repeated() if one not in known),
            key=lambda one: len(self._keys[one]),
        )
        candidates = {
            fingerprint: _Candidate(fingerprint, charged)
            for fingerprint in repeated
            if len(groups(charged := self.charges(fingerprint, known)))
            >= MIN_CRASHES
        }
        recent = [
            (crash, _shortest_mean_s(crash, known, candidates))
            for crash in self._crashes.values()
            if crash.at_s > now - RATE_WINDOW_S
        ]
        found = [
            one
            for one in candidates.values()
            if self._chance(one, recent) <= MAX_CHANCE
        ]
        found.sort(key=lambda one: (one.exposure_s, one.fingerprint))
        del found[MAX_COMPARED:]
        clear = (
            one
            for one in found
            if one.count >= MIN_AMBIGUOUS_CRASHES
            or not any(one.is_ambiguous_with(other) for other in found)
        )
        return next(clear, None)

    def _chance(
        self, candidate: _Candidate, recent: list[tuple[Crash, float]]
    ) -> float:
        """Returns how likely a request meets its crashes by chance.

        Upstreams crash without the request at some rate, which is taken for a
        Poisson process; the request was exposed to it while it was running.
        """
        mean = candidate.exposure_s * max(
            self._background_per_s(candidate, service, recent)
            for service in {crash.service for crash in candidate.charged}
        )
        term = below = math.exp(-mean)
        for number in range(1, candidate.count):
            term *= mean / number
            below += term
        return 1.0 - below

    def _background_per_s(
        self,
        candidate: _Candidate,
        service: str,
        recent: list[tuple[Crash, float]],
    ) -> float:
        """Returns the crashes per second and upstream without a request.

        Crashes that are explained at least as well by another request are left
        out: else two culprits would hide each other.
        """
        count = sum(
            crash.service == service
            and shortest_mean_s > candidate.mean_exposure_s
            and candidate.fingerprint not in crash.suspects
            for crash, shortest_mean_s in recent
        )
        upstreams = max(1, self._upstream_count(service))
        return MIN_CRASHES_PER_S + count / RATE_WINDOW_S / upstreams

    def _remove(self, key: str) -> None:
        crash = self._crashes.pop(key, None)
        if crash is None:
            return
        for fingerprint in crash.suspects:
            keys = self._keys[fingerprint]
            keys.discard(key)
            if not keys:
                del self._keys[fingerprint]


def _shortest_mean_s(
    crash: Crash, known: set[bytes], candidates: dict[bytes, _Candidate]
) -> float:
    """Returns the shortest mean exposure of those that explain a crash.

    It is 0 for known culprits, and infinite if nothing explains the crash.
    """
    if not known.isdisjoint(crash.suspects):
        return 0.0
    return min(
        (
            candidates[fingerprint].mean_exposure_s
            for fingerprint in crash.suspects
            if fingerprint in candidates
        ),
        default=math.inf,
    )


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
