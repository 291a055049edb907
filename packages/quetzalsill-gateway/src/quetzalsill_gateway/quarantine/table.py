"""Traits whose requests are refused because they crash upstreams.

A quarantine ends by itself, so that requests are served again once the fault
that they met is fixed: after a while one gateway lets one through, as a probe.
If that crashes an upstream too, the quarantine lasts longer than before.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator

__all__ = ['Entry', 'QuarantineTable']

# How long a quarantine lasts until the next probe, by the number of probes that
# have failed. The first one is early, as a wrong verdict refuses requests that
# would be served; only three are made in a day.
HOLD_S = (15.0, 3_600.0, 21_600.0, 86_400.0)
# A probe that has no result after this time has none at all: its caller may
# have left.
PROBE_S = 60.0
# A lifted entry is kept until its news has reached every gateway.
LIFTED_RETENTION_S = 600.0
# An entry that nobody asks for is forgotten this long after it was due.
UNUSED_RETENTION_S = 86_400.0
MAX_ENTRIES = 512


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """A trait whose requests are, or were, in quarantine.

    Attributes:
      fingerprint: Fingerprint of the trait.
      version: Grows with each change; the highest one applies.
      is_active: Whether the requests are refused.
      since_s: Loop time at which the quarantine began.
      until_s: Loop time from which a probe may be made.
      failed_probes: Number of probes that crashed an upstream.
      probe_s: Loop time at which the latest probe began; None if it has ended.
      label: Route, client account and path, for operators.
      upstreams: Upstreams that it crashed; the newest, if they are many.
      reason: Why it was lifted; empty while it is active.
      companions: Fingerprints of traits that a request must have as well to be
        refused: nothing separates them from the first one so far.
    """

    fingerprint: bytes
    version: int
    is_active: bool
    since_s: float
    until_s: float
    failed_probes: int = 0
    probe_s: float | None = None
    label: str = ''
    upstreams: tuple[str, ...] = ()
    reason: str = ''
    companions: tuple[bytes, ...] = ()

    @property
    def traits(self) -> frozenset[bytes]:
        """Fingerprints of all traits that a refused request has."""
        return frozenset((self.fingerprint, *self.companions))

    @property
    def rank(self) -> tuple[int, bool, int, tuple[bytes, ...]]:
        """Order of two entries of the same trait; the highest one applies.

        Of two of the same version, which two gateways have made independently,
        the active one applies, and then the one that rests on more crashes.
        """
        return (
            self.version,
            self.is_active,
            -len(self.companions),
            self.companions,
        )


class QuarantineTable:
    """The entries that a gateway knows."""

    def __init__(self) -> None:
        self._entries: dict[bytes, Entry] = {}
        # Traits of active entries; None if they are to be collected again.
        self._involved: frozenset[bytes] | None = None

    def __bool__(self) -> bool:
        """Whether any entry is known."""
        return bool(self._entries)

    @property
    def entries(self) -> list[Entry]:
        """All entries, lifted ones included."""
        return list(self._entries.values())

    @property
    def active(self) -> list[Entry]:
        """Entries of traits whose requests are refused."""
        return [one for one in self._entries.values() if one.is_active]

    def get(self, fingerprint: bytes) -> Entry | None:
        """Returns the active entry of a trait, None if it has none."""
        found = self._entries.get(fingerprint)
        return found if found is not None and found.is_active else None

    def involves(self, fingerprint: bytes) -> bool:
        """Whether a trait belongs to any active entry."""
        if self._involved is None:
            self._involved = frozenset().union(*(e.traits for e in self.active))
        return fingerprint in self._involved

    def matching(self, fingerprints: Iterable[bytes]) -> Iterator[Entry]:
        """Yields the active entries by which a request is refused.

        Args:
          fingerprints: Fingerprints of all traits of the request.
        """
        known = set(fingerprints)
        for fingerprint in known & self._entries.keys():
            entry = self._entries[fingerprint]
            if entry.is_active and known.issuperset(entry.companions):
                yield entry

    def add(
        self,
        fingerprint: bytes,
        label: str,
        upstreams: tuple[str, ...],
        now: float,
        companions: tuple[bytes, ...] = (),
    ) -> Entry:
        """Puts requests with a trait in quarantine and returns its entry."""
        known = self._entries.get(fingerprint)
        failed = known.failed_probes if known else 0
        return self._store(
            Entry(
                fingerprint,
                known.version + 1 if known else 1,
                True,
                now,
                now + _hold_s(failed),
                failed,
                label=label,
                upstreams=upstreams,
                companions=companions,
            )
        )

    def widen(self, entry: Entry, companion: bytes) -> Entry:
        """Records that one of the companions is not needed."""
        left = tuple(one for one in entry.companions if one != companion)
        return self._update(entry, companions=left)

    def begin_probe(self, entry: Entry, now: float) -> Entry:
        """Records that a request is let through once."""
        return self._update(entry, until_s=now + PROBE_S, probe_s=now)

    def fail_probe(self, entry: Entry, now: float) -> Entry:
        """Records that a probe has crashed an upstream."""
        failed = entry.failed_probes + 1
        return self._update(
            entry,
            until_s=now + _hold_s(failed),
            failed_probes=failed,
            probe_s=None,
        )

    def lift(self, entry: Entry, reason: str, now: float) -> Entry:
        """Ends a quarantine."""
        return self._update(
            entry, is_active=False, until_s=now, probe_s=None, reason=reason
        )

    def merge(self, entry: Entry) -> bool:
        """Applies another gateway's entry; returns whether it was newer."""
        known = self._entries.get(entry.fingerprint)
        if known is not None and known.rank >= entry.rank:
            if not known.label and entry.label:
                self._store(dataclasses.replace(known, label=entry.label))
            return False
        self._store(entry)
        return True

    def expire(self, now: float) -> None:
        """Drops entries that are no longer needed."""
        for entry in self.entries:
            kept_s = (
                UNUSED_RETENTION_S if entry.is_active else LIFTED_RETENTION_S
            )
            if now > entry.until_s + kept_s:
                del self._entries[entry.fingerprint]
                self._involved = None

    def _update(self, entry: Entry, **changes: object) -> Entry:
        return self._store(
            dataclasses.replace(entry, version=entry.version + 1, **changes)
        )

    def _store(self, entry: Entry) -> Entry:
        is_new = entry.fingerprint not in self._entries
        if is_new and len(self._entries) >= MAX_ENTRIES:
            oldest = min(self._entries.values(), key=lambda one: one.since_s)
            del self._entries[oldest.fingerprint]
        self._entries[entry.fingerprint] = entry
        self._involved = None
        return entry


def _hold_s(failed_probes: int) -> float:
    return HOLD_S[min(failed_probes, len(HOLD_S) - 1)]
