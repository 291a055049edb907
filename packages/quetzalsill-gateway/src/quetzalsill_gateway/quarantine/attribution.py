"""Attributes crashes of upstreams to the traits that caused them.

Where one trait crashes upstreams again and again, its neighbours meet several
crashes too, long generations most of all. What distinguishes them:

- a trait that was cleared since a crash did not cause it;
- a crash at which a known culprit was running is charged to nobody else, except
  the traits that the culprit's own runs have;
- upstreams that crash at the same moment, as those of a rack do, count once;
- a request that was running at some of many crashes may have been there by
  chance, depending on for how long it has been running;
- of requests that were running at the same crashes, the one that had been
  running for clearly the shortest time is the culprit.

Traits that so far only came together are convicted together: requests with all
of them crash upstreams, which is the narrowest verdict that explains the
crashes. It gets wider as one is cleared or crashes an upstream alone.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import math
from collections.abc import Callable, Iterable, Iterator

from quetzalsill_gateway.quarantine import evidence

__all__ = ['Verdict', 'culprits']

# While another trait may have caused the same crashes as well, this many are
# needed; and for a trait whose requests were answered lately, as many for which
# there is no better explanation.
MIN_AMBIGUOUS_CRASHES = 5
# Another trait may have caused a crash if it was at this many.
MIN_RIVAL_CRASHES = 2
# A request is clearly shorter than another if it has been running for less than
# this share of its time.
CLEARLY_SHORTER_SHARE = 0.5
# Largest probability that as many crashes meet a request by chance.
MAX_CHANCE = 1e-6
# Window for the rate of crashes.
RATE_WINDOW_S = 10.0
# Rate at which an upstream is assumed to crash though none has lately; few
# crashes show little about it.
MIN_CRASHES_PER_S = 0.01
# Bound the time of a verdict: traits that are considered, those at the most
# crashes first; those compared with each other; and culprits found.
MAX_CANDIDATES = 128
MAX_COMPARED = 16
MAX_CULPRITS = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """Traits by which requests crash upstreams.

    Attributes:
      traits: Their fingerprints; a request crashes upstreams if it has all.
      label: Route, client account and path of such a request; empty if this
        gateway never ran one.
      charged: The crashes, by time.
    """

    traits: evidence.Traits
    label: str
    charged: list[evidence.Crash]


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
    charged: list[evidence.Crash]
    count: int = dataclasses.field(init=False)
    exposure_s: float = dataclasses.field(init=False)
    constant: evidence.Traits = dataclasses.field(init=False)
    traits: evidence.Traits = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.count = len(evidence.groups(self.charged))
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


def culprits(
    found: evidence.Evidence, known: Iterable[evidence.Traits], now: float
) -> Iterator[Verdict]:
    """Yields the traits that are found to have caused crashes.

    Each of them explains its crashes before the next is looked for. At most
    `MAX_CULPRITS`; more may be found at the next call.

    Args:
      found: What is known of crashes.
      known: Traits of culprits that are known already.
      now: Loop time.
    """
    convicted = set(known)
    for _ in range(MAX_CULPRITS):
        candidate = _culprit(found, convicted, now)
        if candidate is None:
            return
        convicted.add(candidate.traits)
        yield Verdict(candidate.traits, _label(candidate), candidate.charged)


def _culprit(
    found: evidence.Evidence, known: set[evidence.Traits], now: float
) -> _Candidate | None:
    explained = {
        crash.key
        for crash in found.crashes
        if evidence.is_explained(crash, known)
    }
    repeated = heapq.nlargest(
        MAX_CANDIDATES,
        (
            one
            for one in found.repeated()
            if frozenset([one]) not in known
            and any(
                crash.key not in explained for crash in found.crashes_of(one)
            )
        ),
        key=found.count_of,
    )
    candidates: dict[bytes, _Candidate] = {}
    fresh = _fresh(found)
    for fingerprint in repeated:
        charged = found.charges(fingerprint, known)
        count = len(evidence.groups(charged))
        if found.is_known_sound(fingerprint):
            unclear = (
                crash for crash in charged if fresh.isdisjoint(crash.by_trait)
            )
            if len(evidence.groups(unclear)) < MIN_AMBIGUOUS_CRASHES:
                continue
        if count < evidence.MIN_CRASHES:
            continue
        candidate = _Candidate(fingerprint, charged)
        candidate.traits = _unseparated(found, candidate)
        if _explains_more(candidate, explained) and not any(
            one <= candidate.traits for one in known
        ):
            candidates[fingerprint] = candidate
    recent = [
        (crash, _shortest_mean_s(crash, explained, candidates))
        for crash in found.crashes
        if crash.at_s > now - RATE_WINDOW_S
    ]
    likely = [
        one
        for one in candidates.values()
        if _chance(found, one, recent) <= MAX_CHANCE
    ]
    likely.sort(key=lambda one: (one.mean_exposure_s, one.fingerprint))
    del likely[MAX_COMPARED:]
    rival_exposure_s = functools.cache(
        lambda fingerprint: _rival_exposure_s(found, fingerprint)
    )
    clear = (
        one
        for one in likely
        if one.count >= MIN_AMBIGUOUS_CRASHES
        or not _is_ambiguous(one, rival_exposure_s)
    )
    return next(clear, None)


def _rival_exposure_s(found: evidence.Evidence, fingerprint: bytes) -> float:
    """Returns the mean exposure of a trait; infinite if it is no rival.

    Those whose requests were answered are none, nor those at few crashes.
    """
    crashes = found.crashes_of(fingerprint)
    if len(crashes) < MIN_RIVAL_CRASHES or found.is_known_sound(fingerprint):
        return math.inf
    return sum(one.exposure_s(fingerprint) for one in crashes) / len(crashes)


def _unseparated(
    found: evidence.Evidence, candidate: _Candidate
) -> evidence.Traits:
    """Returns the traits that may have caused all of the same crashes."""
    first_s = candidate.charged[0].at_s
    left = frozenset(
        one for one in candidate.traits if found.cleared_until_s(one) < first_s
    )
    return left or frozenset([candidate.fingerprint])


def _fresh(found: evidence.Evidence) -> evidence.Traits:
    """Returns traits that explain crashes better than those known as sound.

    None of their requests was answered, and each was at several crashes. A
    whole request must have been at more than a shared trait, since it is sent
    again after a crash that something else caused.
    """
    return frozenset(
        one
        for one in found.traits()
        if not found.is_known_sound(one)
        and found.count_of(one)
        >= evidence.MIN_CRASHES - (not _is_request(found, one))
    )


def _is_request(found: evidence.Evidence, fingerprint: bytes) -> bool:
    """Whether a trait is a request as a whole."""
    return fingerprint in found.crashes_of(fingerprint)[0].suspects


def _explains_more(candidate: _Candidate, explained: set[str]) -> bool:
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
    bound_s = max(evidence.MIN_OUTLIVED_S, evidence.OUTLIVED_FACTOR * fuse_s)
    return any(
        not is_known and span_s <= bound_s for is_known, span_s in shortest_s
    )


def _chance(
    found: evidence.Evidence,
    candidate: _Candidate,
    recent: list[tuple[evidence.Crash, float]],
) -> float:
    """Returns how likely a trait meets its crashes by chance.

    Upstreams crash without it at some rate, which is taken for a Poisson
    process; requests with it were exposed to that while they were running.
    """
    mean = candidate.exposure_s * max(
        _background_per_s(found, candidate, service, recent)
        for service in {crash.service for crash in candidate.charged}
    )
    term = below = math.exp(-mean)
    for number in range(1, candidate.count):
        term *= mean / number
        below += term
    return 1.0 - below


def _background_per_s(
    found: evidence.Evidence,
    candidate: _Candidate,
    service: str,
    recent: list[tuple[evidence.Crash, float]],
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
    upstreams = max(1, found.upstream_count(service))
    return MIN_CRASHES_PER_S + count / RATE_WINDOW_S / upstreams


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


def _label(candidate: _Candidate) -> str:
    labels = (
        one.label
        for crash in reversed(candidate.charged)
        for one in crash.matching(candidate.traits)
    )
    return next(filter(None, labels), '')


def _shortest_mean_s(
    crash: evidence.Crash,
    explained: set[str],
    candidates: dict[bytes, _Candidate],
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
