"""Attributes crashes of upstreams to the traits of the requests that they ran.

A crash ends every run of its upstream, so each trait of each of them is a
suspect: the request as a whole, and what it has in common with others. Where
one trait crashes upstreams again and again, its neighbours meet several crashes
too, long generations most of all. What distinguishes them:

- a trait of a run that outlived such a crash, or was answered, did not cause
  the crashes before it began;
- a crash at which a known culprit was running is charged to nobody else, except
  the traits that the culprit's own runs have;
- upstreams that crash at the same moment, as those of a rack do, count once;
- a request that was running at some of many crashes may have been there by
  chance, depending on for how long it has been running;
- of requests that were running at the same crashes, the one that had been
  running for clearly the shortest time is the culprit.

Traits that so far only came together can't be told apart. The verdict is then
that requests with all of them crash upstreams, which is the narrowest that
explains the crashes. It gets wider as they are told apart.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import heapq
import math
from collections.abc import Callable, Iterable, Iterator

__all__ = ['Crash', 'Evidence', 'Suspect', 'Verdict', 'groups']

MIN_CRASHES = 3
# While another trait may have caused the same crashes as well, this many are
# needed; and for a trait whose requests were answered lately, as many for which
# there is no better explanation.
MIN_AMBIGUOUS_CRASHES = 5
# Another trait may have caused a crash if it was at this many.
MIN_RIVAL_CRASHES = 2
# A request is clearly shorter than another if it has been running for less than
# this share of its time.
CLEARLY_SHORTER_SHARE = 0.5
# A run that has been producing output for this long, and for this multiple of
# the time after which a trait was followed by crashes, has outlived it.
MIN_OUTLIVED_S = 0.3
OUTLIVED_FACTOR = 2.0
# Upstreams that crash within this time of each other count as one crash.
GROUP_S = 0.25
# Largest probability that as many crashes meet a request by chance.
MAX_CHANCE = 1e-6
# Window for the rate of crashes.
RATE_WINDOW_S = 10.0
# Rate at which an upstream is assumed to crash though none has lately; few
# crashes show little about it.
MIN_CRASHES_PER_S = 0.01
# A trait that is repeated less often than this is found again each time.
RETENTION_S = 600.0
MAX_CRASHES = 256
MAX_SUSPECTS = 64
# Shared traits of all requests at one crash.
MAX_SHARED = 512
MAX_COMPLETIONS = 4096
# Bound the time of a verdict: traits that are considered, those at the most
# crashes first; those compared with each other; and culprits found.
MAX_CANDIDATES = 128
MAX_COMPARED = 16
MAX_CULPRITS = 3

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


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """Traits by which requests crash upstreams.

    Attributes:
      traits: Their fingerprints; a request crashes upstreams if it has all.
      label: Route, client account and path of such a request; empty if this
        gateway never ran one.
      charged: The crashes, by time.
    """

    traits: Traits
    label: str
    charged: list[Crash]


@dataclasses.dataclass(slots=True)
class _Candidate:
    """A trait that may be a culprit.

    Attributes:
      fingerprint: Its fingerprint.
      charged: The crashes that it may have caused.
      count: Their number, those at the same moment counted once.
      exposure_s: For how long it had been running at all of them together.
      constant: What all requests with it at these crashes have.
      traits: The same; the request alone, if it was a single one.
    """

    fingerprint: bytes
    charged: list[Crash]
    count: int = dataclasses.field(init=False)
    exposure_s: float = dataclasses.field(init=False)
    constant: Traits = dataclasses.field(init=False)
    traits: Traits = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.count = len(groups(self.charged))
        self.exposure_s = sum(
            crash.exposure_s(self.fingerprint) for crash in self.charged
        )
        suspects = [
            one
            for crash in self.charged
            for one in crash.by_trait[self.fingerprint]
        ]
        self.constant = frozenset.intersection(
            *(one.shared | {one.fingerprint} for one in suspects)
        )
        request = frozenset([suspects[0].fingerprint])
        self.traits = request if request <= self.constant else self.constant

    @property
    def mean_exposure_s(self) -> float:
        """For how long it had been running at each of them."""
        return self.exposure_s / self.count


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
        crashes = [
            self._crashes[key] for key in self._keys.get(fingerprint, ())
        ]
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
        crashes = (
            self._crashes[key] for key in self._keys.get(fingerprint, ())
        )
        charged = (
            crash
            for crash in crashes
            if crash.at_s > since_s and not _is_explained(crash, others, own)
        )
        return sorted(charged, key=lambda crash: crash.at_s)

    def culprits(
        self, known: Iterable[Traits], now: float
    ) -> Iterator[Verdict]:
        """Yields the traits that are found to have caused crashes.

        Each of them explains its crashes before the next is looked for. At most
        `MAX_CULPRITS`; more may be found at the next call.

        Args:
          known: Traits of culprits that are known already.
          now: Loop time.
        """
        found = set(known)
        for _ in range(MAX_CULPRITS):
            candidate = self._culprit(found, now)
            if candidate is None:
                return
            found.add(candidate.traits)
            yield Verdict(
                candidate.traits, _label(candidate), candidate.charged
            )

    def _culprit(self, known: set[Traits], now: float) -> _Candidate | None:
        explained = {
            crash.key
            for crash in self._crashes.values()
            if _is_explained(crash, known)
        }
        repeated = heapq.nlargest(
            MAX_CANDIDATES,
            (
                one
                for one in self.repeated()
                if frozenset([one]) not in known
                and not self._keys[one] <= explained
            ),
            key=lambda one: len(self._keys[one]),
        )
        candidates: dict[bytes, _Candidate] = {}
        fresh = self._fresh()
        for fingerprint in repeated:
            charged = self.charges(fingerprint, known)
            count = len(groups(charged))
            if fingerprint in self._completed:
                unclear = (
                    crash
                    for crash in charged
                    if fresh.isdisjoint(crash.by_trait)
                )
                if len(groups(unclear)) < MIN_AMBIGUOUS_CRASHES:
                    continue
            if count < MIN_CRASHES:
                continue
            candidate = _Candidate(fingerprint, charged)
            candidate.traits = self._unseparated(candidate)
            if self._explains_more(candidate, explained) and not any(
                one <= candidate.traits for one in known
            ):
                candidates[fingerprint] = candidate
        recent = [
            (crash, _shortest_mean_s(crash, explained, candidates))
            for crash in self._crashes.values()
            if crash.at_s > now - RATE_WINDOW_S
        ]
        found = [
            one
            for one in candidates.values()
            if self._chance(one, recent) <= MAX_CHANCE
        ]
        found.sort(key=lambda one: (one.mean_exposure_s, one.fingerprint))
        del found[MAX_COMPARED:]
        rival_exposure_s = functools.cache(self._rival_exposure_s)
        clear = (
            one
            for one in found
            if one.count >= MIN_AMBIGUOUS_CRASHES
            or not _is_ambiguous(one, rival_exposure_s)
        )
        return next(clear, None)

    def _rival_exposure_s(self, fingerprint: bytes) -> float:
        """Returns the mean exposure of a trait; infinite if it is no rival.

        Those whose requests were answered are none, nor those at few crashes.
        """
        keys = self._keys[fingerprint]
        if len(keys) < MIN_RIVAL_CRASHES or fingerprint in self._completed:
            return math.inf
        exposures_s = [
            self._crashes[key].exposure_s(fingerprint) for key in keys
        ]
        return sum(exposures_s) / len(exposures_s)

    def _unseparated(self, candidate: _Candidate) -> Traits:
        """Returns the traits that may have caused all of the same crashes."""
        first_s = candidate.charged[0].at_s
        found = frozenset(
            one
            for one in candidate.traits
            if self._completed.get(one, -math.inf) < first_s
        )
        return found or frozenset([candidate.fingerprint])

    def _fresh(self) -> Traits:
        """Returns traits that explain crashes better than those known as sound.

        None of their requests was answered, and each was at several crashes; a
        request is sent again after a crash, whatever caused it, and so must
        have been at more.
        """
        return frozenset(
            one
            for one, keys in self._keys.items()
            if one not in self._completed
            and len(keys) >= MIN_CRASHES - (not self._is_request(one))
        )

    def _is_request(self, fingerprint: bytes) -> bool:
        """Whether a trait is a request as a whole."""
        key = next(iter(self._keys[fingerprint]))
        return fingerprint in self._crashes[key].suspects

    def _explains_more(
        self, candidate: _Candidate, explained: set[str]
    ) -> bool:
        """Whether a trait explains crashes that known culprits don't.

        If they explain the others, it must have been followed by these as
        quickly.
        """
        fingerprint = candidate.fingerprint
        shortest_s = [
            (crash.key in explained, crash.shortest_s(fingerprint))
            for crash in candidate.charged
        ]
        fuse_s = max(
            (span_s for is_known, span_s in shortest_s if is_known),
            default=math.inf,
        )
        bound_s = max(MIN_OUTLIVED_S, OUTLIVED_FACTOR * fuse_s)
        return any(
            not is_known and span_s <= bound_s
            for is_known, span_s in shortest_s
        )

    def _chance(
        self, candidate: _Candidate, recent: list[tuple[Crash, float]]
    ) -> float:
        """Returns how likely a trait meets its crashes by chance.

        Upstreams crash without it at some rate, which is taken for a Poisson
        process; requests with it were exposed to that while they were running.
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
        """Returns the crashes per second and upstream without a trait.

        Crashes that are explained at least as well by another one are left
        out: else two culprits would hide each other.
        """
        count = sum(
            crash.service == service
            and shortest_mean_s > candidate.mean_exposure_s
            and candidate.fingerprint not in crash.by_trait
            for crash, shortest_mean_s in recent
        )
        upstreams = max(1, self._upstream_count(service))
        return MIN_CRASHES_PER_S + count / RATE_WINDOW_S / upstreams

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


def _is_ambiguous(
    candidate: _Candidate, rival_exposure_s: Callable[[bytes], float]
) -> bool:
    """Whether others may have caused each of the same crashes.

    One may explain all of them, or several culprits some each.

    Args:
      candidate: A trait that may be a culprit.
      rival_exposure_s: Returns for how long another had been running.
    """
    bound_s = candidate.mean_exposure_s / CLEARLY_SHORTER_SHARE
    return all(
        any(
            one not in candidate.constant and rival_exposure_s(one) < bound_s
            for one in crash.by_trait
        )
        for crash in candidate.charged
    )


def _is_explained(
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


def _label(candidate: _Candidate) -> str:
    labels = (
        one.label
        for crash in reversed(candidate.charged)
        for one in crash.matching(candidate.traits)
    )
    return next(filter(None, labels), '')


def _shortest_mean_s(
    crash: Crash, explained: set[str], candidates: dict[bytes, _Candidate]
) -> float:
    """Returns the shortest mean exposure of those that explain a crash.

    It is 0 for known culprits, and infinite if nothing explains the crash.
    """
    if crash.key in explained:
        return 0.0
    return min(
        (
            candidates[fingerprint].mean_exposure_s
            for fingerprint in crash.by_trait
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
