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
RETENTION_S = 1.0
# Entries in a datagram; some 100 bytes each. More come only if a good part of
# a large fleet changes at once, and then each gateway asks for itself.
MAX_CHANGES = 80


class ChangeLog:
    """Changes behind a revision, in the order of their revisions.

    What means nothing is left out: an upstream may write its entry anew with
    nothing but a count in it changed. Every gateway goes through the same
    revisions, and so takes the same changes for meaningful.
    """

    def __init__(self) -> None:
        self._batches: collections.deque[
            tuple[float, revision_lib.Revision]
        ] = collections.deque()
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
            upstream.Change(name, revision, entry)
            for name, entry in self._entries.items()
        )

    def reset(
        self, changes: list[upstream.Change], revision: revision_lib.Revision
    ) -> None:
        """Begins anew with all entries as of a revision."""
        self._batches.clear()
        self._changes.clear()
        self._since = revision
        self._entries.clear()
        for change in changes:
            self._store(change)

    def record(
        self,
        now: float,
        before: revision_lib.Revision,
        received: list[upstream.Change],
    ) -> list[upstream.Change]:
        """Takes what changed behind a revision; returns what means anything.

        Args:
          now: Loop time, in seconds.
          before: Revision behind which they came.
          received: The changes, in order.
        """
        changes = [change for change in received if self._store(change)]
        if not self._batches:
            self._since = before
        self._batches.append((now, before))
        self._changes.extend(changes)
        while (
            len(self._batches) > 1 and now - self._batches[0][0] > RETENTION_S
        ):
            self._batches.popleft()
        self._truncate(self._batches[0][1])
        if len(self._changes) > MAX_CHANGES:
            self._truncate(self._changes[-MAX_CHANGES - 1].revision)
        return changes

    def _store(self, change: upstream.Change) -> bool:
        """Takes an entry; returns whether it is another than before."""
        previous = self._entries.get(change.id)
        if change.upstream is None:
            self._entries.pop(change.id, None)
            return previous is not None
        self._entries[change.id] = change.upstream
        return previous is None or not previous.says_the_same(change.upstream)

    def _truncate(self, revision: revision_lib.Revision) -> None:
        self._since = max(self._since, revision)
        while self._changes and self._changes[0].revision <= self._since:
            self._changes.popleft()
