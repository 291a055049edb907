"""Changes of the membership of late, as one gateway tells them to others.

A datagram may be lost, so each tells again what the last few told. Whoever has
missed more than that sees the gap, and asks the source itself.
"""

from __future__ import annotations

import collections

from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.fleet import upstream

__all__ = ['ChangeLog']

# How far back a datagram reaches, in seconds: a few calls at the source.
KEPT_S = 1.0
# Entries in a datagram; some 100 bytes each. More come only if a good part of
# a large fleet changes at once, and then each gateway asks for itself.
MOST_CHANGES = 80


class ChangeLog:
    """Changes behind a revision, in the order of their revisions.

    What means nothing is left out: an upstream may write its entry anew with
    nothing but a count in it changed. Every gateway goes through the same
    revisions, and so takes the same changes for meaningful.
    """

    def __init__(self) -> None:
        self._steps: collections.deque[tuple[float, revision_lib.Revision]] = (
            collections.deque()
        )
        self._changes: collections.deque[upstream.Change] = collections.deque()
        self._since = revision_lib.NONE
        self._entries: dict[str, upstream.Upstream] = {}

    @property
    def since(self) -> revision_lib.Revision:
        """Revision behind which every change is in `changes`."""
        return self._since

    @property
    def changes(self) -> tuple[upstream.Change, ...]:
        """Changes behind `since`, the oldest first."""
        return tuple(self._changes)

    def entries(
        self, revision: revision_lib.Revision
    ) -> tuple[upstream.Change, ...]:
        """Returns every entry, as of a revision."""
        return tuple(
            upstream.Change(name, revision, found)
            for name, found in self._entries.items()
        )

    def reset(
        self, found: list[upstream.Change], revision: revision_lib.Revision
    ) -> None:
        """Begins anew with all entries as of a revision."""
        self._steps.clear()
        self._changes.clear()
        self._since = revision
        self._entries.clear()
        for change in found:
            self._enter(change)

    def record(
        self,
        now: float,
        before: revision_lib.Revision,
        found: list[upstream.Change],
    ) -> list[upstream.Change]:
        """Takes what changed behind a revision; returns what means anything.

        Args:
          now: Loop time, in seconds.
          before: Revision behind which they came.
          found: The changes, in order.
        """
        changes = [change for change in found if self._enter(change)]
        if not self._steps:
            self._since = before
        self._steps.append((now, before))
        self._changes.extend(changes)
        while len(self._steps) > 1 and now - self._steps[0][0] > KEPT_S:
            self._steps.popleft()
        self._drop_until(self._steps[0][1])
        if len(self._changes) > MOST_CHANGES:
            self._drop_until(self._changes[-MOST_CHANGES - 1].revision)
        return changes

    def _enter(self, change: upstream.Change) -> bool:
        """Takes an entry; returns whether it is another than before."""
        before = self._entries.get(change.id)
        if change.upstream is None:
            self._entries.pop(change.id, None)
            return before is not None
        self._entries[change.id] = change.upstream
        return before is None or not before.has_same_content(change.upstream)

    def _drop_until(self, revision: revision_lib.Revision) -> None:
        self._since = max(self._since, revision)
        while self._changes and self._changes[0].revision <= self._since:
            self._changes.popleft()
