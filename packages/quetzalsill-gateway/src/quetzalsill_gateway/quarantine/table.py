"""Requests that are refused because they crash upstreams.

A quarantine ends by itself, so that a request is served again once the fault
that it met is fixed: after a while one gateway lets it through, as a probe.
If that crashes an upstream too, the quarantine lasts longer than before.
"""

from __future__ import annotations

import dataclasses

__all__ = ['Entry', 'QuarantineTable']

# How long a quarantine lasts until the next probe, by the number of probes that
# have failed.
HOLD_S = (600.0, 3_600.0, 21_600.0, 86_400.0)
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
    """A request that is, or was, in quarantine.

    Attributes:
      fingerprint: Fingerprint of the request.
      version: Grows with each change; the highest one applies.
      is_active: Whether the request is refused.
      since_s: Loop time at which the quarantine began.
      until_s: Loop time from which a probe may be made.
      failed_probes: Number of probes that crashed an upstream.
      probe_s: Loop time at which the latest probe began; None if it has ended.
      label: Route, client account and path, for operators.
      upstreams: Upstreams that it crashed; the newest, if they are many.
      reason: Why it was lifted; empty while it is active.
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


class QuarantineTable:
    """The entries that a gateway knows."""

    def __init__(self) -> None:
        self._entries: dict[bytes, Entry] = {}

    def __bool__(self) -> bool:
        """Whether any entry is known."""
        return bool(self._entries)

    @property
    def entries(self) -> list[Entry]:
        """All entries, lifted ones included."""
        return list(self._entries.values())

    @property
    def active(self) -> list[Entry]:
        """Entries of requests that are refused."""
        return [one for one in self._entries.values() if one.is_active]

    def get(self, fingerprint: bytes) -> Entry | None:
        """Returns the active entry of a request, None if it has none."""
        found = self._entries.get(fingerprint)
        return found if found is not None and found.is_active else None

    def add(
        self,
        fingerprint: bytes,
        label: str,
        upstreams: tuple[str, ...],
        now: float,
    ) -> Entry:
        """Puts a request in quarantine and returns its entry."""
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
            )
        )

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
        """Applies the entry of another gateway; returns whether it was newer.

        Of two entries of the same version, which two gateways have made
        independently, the active one applies.
        """
        known = self._entries.get(entry.fingerprint)
        if known is not None and (known.version, known.is_active) >= (
            entry.version,
            entry.is_active,
        ):
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
        return entry


def _hold_s(failed_probes: int) -> float:
    return HOLD_S[min(failed_probes, len(HOLD_S) - 1)]
